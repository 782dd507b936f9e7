package org.springmill.control.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.storage.RoundLog.ClaimEnd;
import org.springmill.control.storage.RoundLog.RecoveredRounds;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient.Reply;

/**
 * Stored records as three versions wrote them: two from before jobs could depend on others
 * (880f457, and the last commit before that change, 025a6a8) and the first one with such jobs in
 * production (9f45bfd). The literals are output of those versions; unless stated otherwise, all
 * three wrote the same. Each is read and written again with the same bytes, since controllers of
 * this version run before, after and together with those versions.
 */
class RecordGenerationsTest {
    private static final String SWEEP =
            """
            "nameId":"run-000412","grist":"train","crew":"vision","shape":"sweep","urgency":"urgent",\
            "sacks":16,"vcpus":8.0,"cards":1.0,"memGb":64.0,"mould":"img-07","pullGb":6.2,\
            "samePlace":true,"apart":false,"loaner":true,"expectS":240.0,"stashEveryS":30.0,\
            "stashS":4.0,"frames":["g8"],"dueS":900.0""";
    private static final String SERVICE =
            """
            "nameId":"run-000413","grist":"serve","crew":"vision","shape":"service","urgency":"prod",\
            "sacks":3,"vcpus":0.5,"cards":0.0,"memGb":100.0,"mould":"img-08","pullGb":16.25,\
            "samePlace":false,"apart":true,"loaner":false,"expectS":0.0,"stashEveryS":0.0,\
            "stashS":0.0,"yard":"a\"""";
    private static final String DEPENDENCIES = ",\"waitsOn\":[\"run-000398\",\"run-000405\"]";

    private static final String CARRIED_AND_NEW =
            """
            {"v":1,"claims":[["run-000412",3,"host-000007","wguCodlQscziaJJFXNLA2w",7],\
            ["run-000413",0,"host-000231","oXQwIj__gD6SKtI49DT20Q"]]}""";
    private static final String ENDED =
            """
            {"v":1,"ended":["wguCodlQscziaJJFXNLA2w","oXQwIj__gD6SKtI49DT20Q"],\
            "done":[["run-000412","3"]]}""";
    private static final String RANGES =
            """
            {"v":1,"ended":["BXnGxYqrl1nuh7PzxN_i4Q","EyQaKfDDbJXiroDogWdGwg",\
            "ZD5cla_hAOfD18rIhweHMg","CiaNC9y8O5sKYjv37nccng","gX7QbupyFsaliyIQKcPUNA"],\
            "done":[["run-000412","0-3,17"]]}""";
    private static final String IMAGES =
            """
            {"v":1,"machines":["host-000007","host-000231"],\
            "images":{"img-07":[6.2,0,1],"img-08":[16.25,1]}}""";

    /** Completed tasks of two windows: one as ranges, one as a bitmap because that is shorter. */
    private static final String COMPLETED_TASKS =
            "\"done\":[[\"run-000412\",\"5\"],[\"run-000412\",\"@16384:VVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVQ\"]]";

    /** Written with the first round of an empty log; versions that do not know it never read it. */
    private static final String LOG_START = ",{\"write\":\"round-log\",\"value\":{\"v\":1}}";

    private static final Settings SETTINGS = SettingsFixtures.small();

    private static final EventLoop FIXED_CLOCK =
            new EventLoop() {
                @Override
                public double now() {
                    return 100;
                }

                @Override
                public double timeOfDay() {
                    return 1e9;
                }

                @Override
                public Timer after(double seconds, Runnable task) {
                    throw new AssertionError("unexpected timer: nothing in this test waits");
                }
            };

    private static JsonNode json(String text) throws MalformedMessageException {
        return Json.object(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(JsonNode json) {
        return new String(Json.bytes(json), StandardCharsets.UTF_8);
    }

    private static JobRecord read(String bytes) throws MalformedMessageException {
        JsonNode value = json(bytes);
        return JobRecord.decode("job/" + value.path("job").path("nameId").asText(), value, 5);
    }

    /** Each record while active, done and cancelled, with times as those versions wrote them. */
    @ParameterizedTest
    @CsvSource({
        "sweep,   '',                      ''",
        "service, '',                      ''",
        "sweep,   '\"accepted\":12.25,',     names",
        "sweep,   '\"accepted\":12.25,',     ''",
        "service, '\"accepted\":12.25,',     names",
        "sweep,   '\"accepted\":1.7000000005E9,', names"
    })
    void aJobsRecordKeepsItsBytes(String shape, String accepted, String names)
            throws MalformedMessageException {
        String job =
                (shape.equals("sweep") ? SWEEP : SERVICE) + (names.isEmpty() ? "" : DEPENDENCIES);
        String form = "{\"v\":1,%s" + accepted + "\"job\":{" + job + "}}";
        JobRecord active = read(form.formatted(""));
        assertEquals(JobPhase.QUEUED, active.phase());
        assertEquals(
                names.isEmpty() ? List.of() : List.of("run-000398", "run-000405"),
                active.submission().dependencies());
        assertEquals(form.formatted(""), text(active.encode()));
        // If this version accepts the same job, it writes the same record, plus the time from which
        // a deadline counts.
        Submission sent = Submission.parse(json("{" + job + "}"));
        double acceptedAt = accepted.isEmpty() ? 3 : active.acceptedAt();
        boolean timed = sent.deadlineSeconds() != null || !names.isEmpty();
        String stored = accepted.isEmpty() && timed ? "\"accepted\":3.0," : accepted;
        assertEquals(
                "{\"v\":1," + stored + "\"job\":{" + job + "}}",
                text(JobRecord.accepted(sent, acceptedAt).encode()));
        String done = form.formatted("\"end\":\"done\",\"at\":17.5,");
        assertEquals(done, text(active.ended(JobPhase.DONE, 17.5).encode()));
        assertEquals(JobPhase.DONE, read(done).phase());
        assertEquals(done, text(read(done).encode()));
        String cancelled = form.formatted("\"end\":\"cancelled\",\"at\":1.7E9,");
        assertEquals(cancelled, text(active.ended(JobPhase.CANCELLED, 1.7e9).encode()));
        assertEquals(1.7e9, read(cancelled).endedAt());
        assertEquals(cancelled, text(read(cancelled).encode()));
    }

    /**
     * A round log on a key-value store that accepts every transaction and always lists the given
     * values.
     */
    private static RoundLog rounds(List<String> stored, List<String> written) {
        KeyValueStoreClient store =
                new KeyValueStoreClient(
                        (request, done) -> {
                            String body = new String(request.body(), StandardCharsets.UTF_8);
                            if (request.method().equals("POST")) {
                                written.add(body.substring(body.indexOf("\"writes\":")));
                                done.accept(answer("{\"ledgerRev\":9}"));
                            } else {
                                done.accept(answer(page(stored)));
                            }
                        },
                        FIXED_CLOCK,
                        SETTINGS,
                        1);
        return new RoundLog(
                store,
                FIXED_CLOCK,
                new Condition("leader", 5),
                job -> true,
                0.2,
                RoundLog.Reserve.NONE);
    }

    private static Reply answer(String body) {
        return new Reply(200, body.getBytes(StandardCharsets.UTF_8));
    }

    private static String page(List<String> values) {
        List<String> pairs = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            pairs.add(
                    "{\"key\":\"round/%015d.00\",\"stamp\":%d,\"value\":%s}"
                            .formatted(i + 1, i + 6, values.get(i)));
        }
        return "{\"pairs\":[" + String.join(",", pairs) + "],\"truncated\":false,\"ledgerRev\":9}";
    }

    private static String put(int round, String value) {
        return "\"writes\":[{\"write\":\"round/%015d.00\",\"value\":%s}]}".formatted(round, value);
    }

    /** The first round of an empty log, with the record that those versions did not write. */
    private static String putFirst(String value) {
        String round = put(1, value);
        return round.substring(0, round.length() - 2) + LOG_START + "]}";
    }

    @Test
    void roundsKeepTheirBytes() {
        List<String> written = new ArrayList<>();
        RoundLog log = rounds(List.of(), written);
        Claim carried = Claim.decide(new TaskId("run-000412", 3), "host-000007", 7);
        Claim decided = Claim.decide(new TaskId("run-000413", 0), "host-000231", 1);
        List<ClaimEnd> ends = new ArrayList<>();
        for (int task : new int[] {0, 1, 2, 3, 17}) {
            ends.add(
                    new ClaimEnd(
                            Claim.decide(new TaskId("run-000412", task), "host-000007", 2), true));
        }
        log.append(List.of(carried, decided), List.of(), List.of(), () -> {}, () -> {});
        log.append(
                List.of(),
                List.of(new ClaimEnd(carried, true), new ClaimEnd(decided, false)),
                List.of(),
                () -> {},
                () -> {});
        log.append(List.of(), ends, List.of(), () -> {}, () -> {});
        assertEquals(List.of(putFirst(CARRIED_AND_NEW), put(2, ENDED), put(3, RANGES)), written);
    }

    @Test
    void completedTasksOfSeveralWindowsKeepTheirBytes() {
        List<String> written = new ArrayList<>();
        List<ClaimEnd> ends = new ArrayList<>();
        for (int task = 16384; task < 16584; task += 2) {
            ends.add(
                    new ClaimEnd(
                            new Claim("k", new TaskId("run-000412", task), "host-000007", 3),
                            true));
        }
        ends.add(new ClaimEnd(new Claim("k", new TaskId("run-000412", 5), "host-000007", 3), true));
        rounds(List.of(), written).append(List.of(), ends, List.of(), () -> {}, () -> {});
        String completedTasks = written.get(0).substring(written.get(0).indexOf("\"done\""));
        assertEquals(COMPLETED_TASKS + "}}" + LOG_START + "]}", completedTasks);
    }

    private static RecoveredRounds readBack(List<String> values) {
        RecoveredRounds[] recovered = new RecoveredRounds[1];
        rounds(values, new ArrayList<>()).load(rounds -> recovered[0] = rounds);
        return recovered[0];
    }

    @Test
    void roundsOfEachVersionAreRead() {
        RecoveredRounds first = readBack(List.of(CARRIED_AND_NEW));
        assertEquals(
                List.of(
                        Claim.decide(new TaskId("run-000412", 3), "host-000007", 7),
                        Claim.decide(new TaskId("run-000413", 0), "host-000231", 1)),
                List.copyOf(first.live()));
        RecoveredRounds all =
                readBack(
                        List.of(
                                CARRIED_AND_NEW,
                                ENDED,
                                RANGES,
                                "{\"v\":1," + COMPLETED_TASKS + "}"));
        assertEquals(List.of(), List.copyOf(all.live()));
        BitSet done = new BitSet();
        done.set(0, 4);
        done.set(5);
        done.set(17);
        for (int task = 16384; task < 16584; task += 2) {
            done.set(task);
        }
        assertEquals(Map.of("run-000412", done), all.done());
    }

    @Test
    void imageLocationsKeepTheirBytes() throws MalformedMessageException {
        ImageLocations locations = new ImageLocations();
        locations.add("host-000007", "img-07", 6.2);
        locations.add("host-000231", "img-07", 6.2);
        locations.add("host-000231", "img-08", 16.25);
        assertEquals(IMAGES, text(locations.encode(8192)));
        ImageLocations read = ImageLocations.decode(json(IMAGES));
        assertEquals(Map.of("img-07", 6.2), read.of("host-000007"));
        assertEquals(Map.of("img-07", 6.2, "img-08", 16.25), read.of("host-000231"));
        assertEquals(IMAGES, text(read.encode(8192)));
    }
}
