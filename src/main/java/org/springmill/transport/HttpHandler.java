package org.springmill.transport;

/** Answers requests on the loop, at once or later. */
public interface HttpHandler {

    void handle(Call call);

    /** One request, to be answered exactly once. */
    interface Call {
        String method();

        String path();

        /** The query, without its question mark; empty if there is none. */
        default String query() {
            return "";
        }

        /** The body, or null if it was longer than the limit. */
        byte[] body();

        /**
         * Answers the request.
         *
         * @param retryAfterSeconds sent as {@code Retry-After} when positive
         */
        void reply(int status, byte[] body, int retryAfterSeconds);
    }
}
