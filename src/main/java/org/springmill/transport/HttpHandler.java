package org.springmill.transport;

/** Handles requests on the event loop; may answer them after {@link #handle} has returned. */
public interface HttpHandler {

    /**
     * Handles one request.
     *
     * @param call the request, which the handler answers
     */
    void handle(Call call);

    /** One request, to be answered exactly once. */
    interface Call {
        /**
         * The HTTP method.
         *
         * @return the method, such as "GET"
         */
        String method();

        /**
         * The path, without the query.
         *
         * @return the path, which begins with a slash
         */
        String path();

        /**
         * The query, without its question mark; empty if there is none.
         *
         * @return the query as it was sent
         */
        default String query() {
            return "";
        }

        /**
         * The body; null if it was larger than the limit.
         *
         * @return the whole body; empty if there is none
         */
        byte[] body();

        /**
         * Answers the request; further calls do nothing.
         *
         * @param status HTTP status
         * @param body of the response; may be empty
         * @param retryAfterSeconds sent as {@code Retry-After} if positive
         */
        void reply(int status, byte[] body, int retryAfterSeconds);
    }
}
