package org.springmill.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import org.springmill.protocol.ArchiveTrainingMessages;
import org.springmill.protocol.ArchiveTrainingMessages.Answer;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.WorkerMessages;
import org.springmill.transport.HttpClient.Request;
import org.springmill.transport.HttpHandler;
import org.springmill.transport.Transport;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Plays a few seconds of a controller's life on loopback, for the build to record which classes it
 * needs. A process that is started again has little processor time and leases that run out: what is
 * not recorded it would have to read from the jar and verify at the very moment at which it takes
 * over.
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

    private ArchiveTrainingMessages world;

    @Override
    public Integer call() throws Exception {
        Path file = Files.createTempFile("training", ".toml");
        Transport around = new Transport(100, Set.of());
        try {
            int port = around.serve("127.0.0.1:0", this::play);
            world = new ArchiveTrainingMessages("127.0.0.1:" + port);
            int api = freePort();
            Files.writeString(file, SETTINGS.formatted(api, "127.0.0.1:" + port));
            // By the real command line, which has classes of its own that a start needs.
            new CommandLine(new Main()).execute("run", "--config", file.toString());
            visit(around, "127.0.0.1:" + api, 0);
            Thread.sleep((long) ((STEPS + 2) * STEP_SECONDS * 1000));
        } finally {
            Files.delete(file);
        }
        return 0;
    }

    private static int freePort() throws IOException {
        try (java.net.ServerSocket socket = new java.net.ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private void play(HttpHandler.Call call) {
        try {
            Answer answer = world.answer(call.method(), call.path(), call.body());
            call.reply(answer.status(), answer.body(), 0);
        } catch (MalformedMessageException e) {
            call.reply(400, new byte[0], 0);
        }
    }

    /** One user and one worker, taking turns. */
    private void visit(Transport around, String api, int step) {
        List<Request> visits =
                List.of(
                        post(api, WorkerMessages.HEARTBEAT_PATH, world.heartbeat()),
                        post(
                                api,
                                UserMessages.SUBMISSIONS,
                                ArchiveTrainingMessages.submission("run-000001", true)),
                        new Request(api, "GET", UserMessages.READY, new byte[0], 1),
                        new Request(
                                api,
                                "GET",
                                UserMessages.SUBMISSIONS + "/run-000001",
                                new byte[0],
                                1),
                        post(
                                api,
                                UserMessages.SUBMISSIONS,
                                ArchiveTrainingMessages.submission("run-000002", false)),
                        post(
                                api,
                                UserMessages.SUBMISSIONS + "/run-000001" + UserMessages.WITHDRAW,
                                new byte[0]));
        around.client().send(visits.get(step / 3 % visits.size()), reply -> {});
        around.client().send(visits.get(0), reply -> {});
        if (step < STEPS) {
            around.loop().after(STEP_SECONDS, () -> visit(around, api, step + 1));
        }
    }

    private static Request post(String api, String path, byte[] body) {
        return new Request(api, "POST", path, body, 1);
    }
}
