package org.springmill.cli;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import org.springmill.protocol.ArchiveTrainingMessages;
import org.springmill.protocol.ArchiveTrainingMessages.Answer;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.CancellationNotice;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.WorkerMessages;
import org.springmill.transport.HttpClient.Request;
import org.springmill.transport.HttpHandler;
import org.springmill.transport.Transport;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Runs a controller on loopback for a few seconds while the build records which classes it loads. A
 * restarted process has little CPU time while leases expire: classes that are not in the archive
 * would have to be read from the jar and verified during the failover.
 */
@Command(name = "train-archive", hidden = true)
final class TrainArchiveCommand implements Callable<Integer> {
    private static final String SETTINGS =
            """
            node = "training"
            site = "here"
            api_addr = "127.0.0.1:%d"
            peer_bind = "127.0.0.1:0"
            [services]
            cloud = "%2$s"
            state = "%2$s"
            [[seeds]]
            node = "other"
            site = "here"
            addr = "127.0.0.1:1"
            [cluster]
            zones = ["here"]
            skew_ms = 1.0
            [[cluster.teams]]
            name = "t"
            cpus = 4.0
            cpus_max = 8.0
            gpus = 0.0
            gpus_max = 0.0
            [[cluster.objectives]]
            kind = "wait"
            class = "c"
            within_s = 0.5
            share = 0.9
            [cluster.workers]
            report_s = 0.4
            lease_s = 4.0
            cancel_s = 20.0
            [cluster.state]
            rps = 100.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 8
            [cluster.cloud]
            rps = 10.0
            list_lag_s = 0.1
            [cluster.machine_limits]
            cpu_share = 0.1
            ram_mb = 100.0
            max_sockets = 100
            """;
    private static final double STEP_SECONDS = 0.15;
    private static final int STEPS = 24;

    /** Steps after which the next kind of request is sent. */
    private static final int STEPS_PER_REQUEST = 3;

    private static final int MAX_SOCKETS = 100;
    private static final double REQUEST_TIMEOUT_SECONDS = 1;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private ArchiveTrainingMessages messages;

    @Override
    public Integer call() throws Exception {
        Path file = Files.createTempFile("training", ".toml");
        Transport transport = new Transport(MAX_SOCKETS, Set.of());
        try {
            int port = transport.serve("127.0.0.1:0", this::answer);
            messages = new ArchiveTrainingMessages("127.0.0.1:" + port);
            int api = freePort();
            Files.writeString(file, SETTINGS.formatted(api, "127.0.0.1:" + port));
            // Through the command line, which loads classes that a start needs.
            new CommandLine(new Main()).execute("run", "--config", file.toString());
            loadPeerRecordReader();
            sendRequests(transport, "127.0.0.1:" + api, 0);
            Thread.sleep((long) ((STEPS + 2) * STEP_SECONDS * MILLISECONDS_PER_SECOND));
        } finally {
            Files.delete(file);
        }
        return 0;
    }

    /** Loads the decoder: no peer sends a record in this run, but one does soon after a start. */
    private static void loadPeerRecordReader() throws MalformedMessageException {
        PeerMessages.decode(PeerMessages.encode(new CancellationNotice("other", List.of())));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private void answer(HttpHandler.Call call) {
        try {
            Answer answer = messages.answer(call.method(), call.path(), call.body());
            call.reply(answer.status(), answer.body(), 0);
        } catch (MalformedMessageException e) {
            call.reply(400, new byte[0], 0);
        }
    }

    /** Sends the next request and a heartbeat of the worker, and schedules the next step. */
    private void sendRequests(Transport transport, String api, int step) {
        List<Request> requests =
                List.of(
                        post(api, WorkerMessages.HEARTBEAT_PATH, messages.heartbeat()),
                        post(
                                api,
                                UserMessages.SUBMISSIONS_PATH,
                                ArchiveTrainingMessages.submission("run-000001", true)),
                        new Request(
                                api,
                                "GET",
                                UserMessages.READINESS_PATH,
                                new byte[0],
                                REQUEST_TIMEOUT_SECONDS),
                        new Request(
                                api,
                                "GET",
                                UserMessages.SUBMISSIONS_PATH + "/run-000001",
                                new byte[0],
                                REQUEST_TIMEOUT_SECONDS),
                        post(
                                api,
                                UserMessages.SUBMISSIONS_PATH,
                                ArchiveTrainingMessages.submission("run-000002", false)),
                        post(
                                api,
                                UserMessages.SUBMISSIONS_PATH
                                        + "/run-000001"
                                        + UserMessages.CANCELLATION_SUFFIX,
                                new byte[0]));
        transport
                .client()
                .send(requests.get(step / STEPS_PER_REQUEST % requests.size()), reply -> {});
        transport.client().send(requests.get(0), reply -> {});
        if (step < STEPS) {
            transport.loop().after(STEP_SECONDS, () -> sendRequests(transport, api, step + 1));
        }
    }

    private static Request post(String api, String path, byte[] body) {
        return new Request(api, "POST", path, body, REQUEST_TIMEOUT_SECONDS);
    }
}
