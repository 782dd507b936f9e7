package org.springmill.transport;

import java.util.function.Consumer;

/** Sends requests without blocking; each callback runs exactly once, on the event loop. */
public interface HttpClient {

    /**
     * Sends a request.
     *
     * @param request what to send
     * @param done takes the outcome, once
     */
    void send(Request request, Consumer<Reply> done);

    /**
     * A request.
     *
     * @param address host and port of the server
     * @param method HTTP method
     * @param path with the query, if there is one
     * @param body may be empty
     * @param timeoutSeconds time until the request fails, its wait for a connection included
     */
    record Request(
            String address, String method, String path, byte[] body, double timeoutSeconds) {}

    /**
     * The outcome of a request.
     *
     * <p>The two outcomes without a response differ in what they prove: a request that was {@link
     * #NOT_SENT} can never be executed, one that was {@link #LOST} may have been executed, or may
     * yet be, minutes later.
     *
     * @param status HTTP status; not positive if there is no response
     * @param body of the response
     * @param retryAfterSeconds from {@code Retry-After}; 0 if there is none
     */
    record Reply(int status, byte[] body, int retryAfterSeconds) {
        /** The request never left this process. */
        public static final Reply NOT_SENT = new Reply(-1, new byte[0]);

        /** The request was sent, at least in part, and there is no response. */
        public static final Reply LOST = new Reply(0, new byte[0]);

        /**
         * A response without {@code Retry-After}.
         *
         * @param status HTTP status
         * @param body of the response
         */
        public Reply(int status, byte[] body) {
            this(status, body, 0);
        }

        /**
         * Whether there is a response, whatever its status.
         *
         * @return whether the status is that of a response
         */
        public boolean answered() {
            return status > 0;
        }

        /**
         * Whether the request succeeded.
         *
         * @return whether the status is 200
         */
        public boolean ok() {
            return status == 200;
        }
    }
}
