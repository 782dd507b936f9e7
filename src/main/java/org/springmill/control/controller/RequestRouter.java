package org.springmill.control.controller;

import org.springmill.control.api.UserApi;
import org.springmill.control.leadership.LeaseKeepalive;
import org.springmill.control.metrics.Metrics;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.WorkerMessages;
import org.springmill.transport.HttpHandler;

/** Routes each HTTP request to the component that handles its path. */
final class RequestRouter implements HttpHandler {
    private static final byte[] EMPTY = new byte[0];
    private static final String METRICS_PATH = "/metrics";
    private static final int METRICS_RETRY_AFTER_SECONDS = 1;

    private final HeartbeatEndpoint heartbeats;
    private final LeaseKeepalive leaseKeepalive;
    private final Readiness readiness;
    private final UserApi userApi;
    private final Metrics metrics;

    RequestRouter(
            HeartbeatEndpoint heartbeats,
            LeaseKeepalive leaseKeepalive,
            Readiness readiness,
            UserApi userApi,
            Metrics metrics) {
        this.heartbeats = heartbeats;
        this.leaseKeepalive = leaseKeepalive;
        this.readiness = readiness;
        this.userApi = userApi;
        this.metrics = metrics;
    }

    @Override
    public void handle(Call call) {
        String path = call.path();
        if (path.equals(WorkerMessages.HEARTBEAT_PATH)) {
            heartbeats.handle(call);
            return;
        }
        leaseKeepalive.recordUserRequest();
        if (path.equals(UserMessages.READINESS_PATH)) {
            handleReadiness(call);
        } else if (isSubmissionPath(path)) {
            userApi.handle(call);
        } else if (path.equals(METRICS_PATH) && call.method().equals("GET")) {
            handleMetrics(call);
        } else {
            reply(call, 404);
        }
    }

    private static boolean isSubmissionPath(String path) {
        return path.equals(UserMessages.SUBMISSIONS_PATH)
                || path.startsWith(UserMessages.SUBMISSIONS_PATH + "/");
    }

    private static void reply(Call call, int status) {
        call.reply(status, EMPTY, 0);
    }

    private void handleReadiness(Call call) {
        if (!call.method().equals("GET")) {
            reply(call, 405);
            return;
        }
        reply(call, readiness.isReady() ? 200 : 503);
    }

    private void handleMetrics(Call call) {
        byte[] text = metrics.read();
        if (text == null) {
            call.reply(429, EMPTY, METRICS_RETRY_AFTER_SECONDS);
        } else {
            call.reply(200, text, 0);
        }
    }
}
