package org.springmill.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Forget;
import org.springmill.protocol.WorkerMessages.Start;
import org.springmill.protocol.WorkerMessages.Stop;

class HeartbeatSizeTest {
    private static final long LONGEST_NUMBER = Long.MAX_VALUE;

    /** Guards against heartbeats that are refused for their size: no form of a task is longer. */
    @ParameterizedTest
    @CsvSource({
        "run-000412/3, running, '', ''",
        "run-000412/99999, ended, no_such, ''",
        "run-000412/99999, ended, stopped, true",
        "run-123456789012345678/99999, ended, stopped, false",
    })
    void noFormOfATaskIsLongerThanItsBound(String task, String phase, String cause, String stored)
            throws MalformedMessageException {
        String status =
                "{\"sack\":\""
                        + task
                        + "\",\"try\":18446744073709551615,\"phase\":\""
                        + phase
                        + '"';
        status += cause.isEmpty() ? "" : ",\"cause\":\"" + cause + '"';
        status += stored.isEmpty() ? "" : ",\"stored\":" + stored;
        assertTrue((status + "},").length() <= HeartbeatSize.maxBytes(TaskId.parse(task)));
    }

    @Test
    void aMachineIsFullBeforeItsHeartbeatExceedsTheLimit() throws MalformedMessageException {
        TaskId task = TaskId.parse("run-000412/99999");
        int tasks = HeartbeatSize.MAX_TASK_BYTES / HeartbeatSize.maxBytes(task);
        String status =
                "{\"sack\":\"run-000412/99999\",\"try\":18446744073709551615,\"phase\":\"ended\","
                        + "\"cause\":\"stopped\",\"stored\":true}";
        String heartbeat =
                "{\"stone\":\"host-000231\",\"addr\":\"10.1.0.232:9000\",\"frame\":\"supercell\","
                        + "\"yard\":\"casablanca-port\",\"loaner\":false,\"shift\":18446744073709551615,"
                        + "\"tally\":18446744073709551615,\"baton\":18446744073709551615,"
                        + "\"warningS\":123.456789,\"sacks\":["
                        + String.join(",", Collections.nCopies(tasks, status))
                        + "]}";
        int bytes = heartbeat.getBytes(StandardCharsets.UTF_8).length;
        assertTrue(bytes <= MessageLimits.MAX_BYTES, bytes + " bytes");
        assertTrue(tasks > 500, tasks + " tasks");
    }

    /** Guards against commands that no worker reads: any number of them keeps to the limit. */
    @ParameterizedTest
    @ValueSource(strings = {"start", "stop", "forget"})
    void commandsOfOneMessageKeepToTheLimit(String kind) {
        CommandBatchBuilder builder = new CommandBatchBuilder();
        List<Command> refused = new ArrayList<>();
        for (int index = 0; index < 3000; index++) {
            Command command = command(kind, new TaskId("run-123456789012345678", 90_000 + index));
            if (!builder.add(command)) {
                refused.add(command);
            }
        }
        List<Command> commands = builder.build();
        assertEquals(3000, commands.size() + refused.size());
        int bytes = WorkerMessages.encodeCommands(LONGEST_NUMBER, LONGEST_NUMBER, commands).length;
        assertTrue(bytes <= MessageLimits.MAX_BYTES, bytes + " bytes");
        assertTrue(commands.size() > 400, commands.size() + " commands");
    }

    private static Command command(String kind, TaskId task) {
        return switch (kind) {
            case "start" -> new Start(task, LONGEST_NUMBER);
            case "stop" -> new Stop(task, LONGEST_NUMBER, -1.234567890123456E-300);
            default -> new Forget(task, LONGEST_NUMBER);
        };
    }
}
