package org.springmill.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that a controller started by the run line of deploy/service.toml loads every class of the
 * application from the class-data archive. A class that the training run missed is read from the
 * jar and verified, for which a restarted controller has no time. Runs after the jar is built.
 */
class ClassDataArchiveIT {
    private static final String START_MESSAGE = "starts";

    /** Nothing listens at the services' addresses, so the controller reaches no other process. */
    private static final String SETTINGS =
            """
            node = "n-0"
            site = "a"
            api_addr = "127.0.0.1:0"
            peer_bind = "127.0.0.1:0"
            [services]
            cloud = "127.0.0.1:1"
            state = "127.0.0.1:1"
            [cluster]
            zones = ["a"]
            skew_ms = 1.0
            [cluster.workers]
            report_s = 2.0
            lease_s = 14.0
            cancel_s = 44.0
            [cluster.state]
            rps = 100.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 8
            [cluster.cloud]
            rps = 10.0
            list_lag_s = 1.0
            [cluster.machine_limits]
            cpu_share = 0.1
            ram_mb = 176.0
            max_sockets = 100
            """;

    @TempDir private Path folder;

    @Test
    void aStartReadsNoClassOfTheApplicationFromTheJar() throws Exception {
        Path classLoadLog = folder.resolve("loads.log");
        Path settings = Files.writeString(folder.resolve("settings.toml"), SETTINGS);
        Process process = new ProcessBuilder(command(classLoadLog, settings)).start();
        try {
            assertTrue(logsItsStart(process), "the controller exited before it logged its start");
        } finally {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }
        List<String> fromJar =
                Files.readAllLines(classLoadLog).stream()
                        .filter(line -> line.matches(".*source: (jar:)?file:.*"))
                        .toList();
        assertEquals(List.of(), fromJar);
    }

    private static List<String> command(Path classLoadLog, Path settings) throws IOException {
        JsonNode deployment =
                new TomlMapper().readTree(Files.readString(Path.of("deploy/service.toml")));
        List<String> command = new ArrayList<>(List.of(deployment.path("run").asText().split(" ")));
        command.add(1, "-Xlog:class+load:file=" + classLoadLog);
        command.add(settings.toString());
        return command;
    }

    private static boolean logsItsStart(Process process) throws IOException {
        try (BufferedReader log =
                new BufferedReader(
                        new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                if (line.endsWith(START_MESSAGE)) {
                    return true;
                }
            }
            return false;
        }
    }
}
