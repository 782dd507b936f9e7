package org.springmill.transport;

import java.util.function.Consumer;

/** Sends requests without blocking; each is answered exactly once, on the loop. */
public interface HttpClient {

    /** Sends a request; what came of it is passed on once. */
    void send(Request request, Consumer<Reply> done);

    /**
     * A request to one address.
     *
     * @param body may be empty
     */
    record Request(
            String address, String method, String path, byte[] body, double timeoutSeconds) {}

    /**
     * What came of a request.
     *
     * <p>The two ways of having no answer differ in what they prove: a request that was {@link
     * #NOT_SENT} can never be executed, one that was {@link #LOST} may have been executed, or may
     * yet be, minutes later.
     *
     * @param retryAfterSeconds from {@code Retry-After}; 0 if there is none
     */
    record Reply(int status, byte[] body, int retryAfterSeconds) {
        public static final Reply NOT_SENT = new Reply(-1, new byte[0]);
        public static final Reply LOST = new Reply(0, new byte[0]);

        /** An answer without {@code Retry-After}. */
        public Reply(int status, byte[] body) {
            this(status, body, 0);
        }

        /** Whether there is an answer, whatever its status. */
        public boolean answered() {
            return status > 0;
        }

        /** Whether the request was served. */
        public boolean ok() {
            return status == 200;
        }
    }
}
