package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/**
 * Late copies of transactions that were committed and answered. None may be committed again, at any
 * later time of the term: otherwise claims come back whose ends are no longer stored.
 */
class RepeatedTransactionTest extends ClusterFixture {
    private static final double HISTORY_RETENTION_SECONDS = 30;
    private static final double LEADER_RECORD_STANDS_SECONDS = 0.1;
    private static final int COMPACTED_ROUNDS = 12;
    private static final int MAX_SHORT_JOBS = 200;

    private int shortJobs;

    /** Which copies arrive, and in which order. */
    private enum Copies {
        FIRST_ROUND,
        SECOND_ROUND,
        LAST_COMPACTED_ROUND,
        ALL,
        ALL_NEWEST_FIRST;

        List<Request> of(List<Request> rounds) {
            return switch (this) {
                case FIRST_ROUND -> rounds.subList(0, 1);
                case SECOND_ROUND -> rounds.subList(1, 2);
                case LAST_COMPACTED_ROUND -> rounds.subList(COMPACTED_ROUNDS - 1, COMPACTED_ROUNDS);
                case ALL -> rounds;
                case ALL_NEWEST_FIRST -> {
                    List<Request> reversed = new ArrayList<>(rounds);
                    Collections.reverse(reversed);
                    yield reversed;
                }
            };
        }
    }

    private static boolean isRound(Request transaction) {
        return MessageMatchers.text(transaction).contains("{\"write\":\"round/");
    }

    private List<Request> committedRounds() {
        return cluster.keyValueStore().committedTransactions().stream()
                .filter(RepeatedTransactionTest::isRound)
                .toList();
    }

    /** A replica fails in its first attempts, then runs; short jobs follow until compaction. */
    private void runUntilFirstRoundsAreCompacted() {
        acceptService(OTHER, "blue", 1, 1);
        cluster.run(2);
        cluster.setBroken(JOB, true);
        acceptService(JOB, "red", 1, 1);
        cluster.run(5);
        cluster.setBroken(JOB, false);
        while (cluster.running(JOB) == 0) {
            cluster.run(1);
        }
        List<Request> rounds = committedRounds();
        while (rounds.size() < COMPACTED_ROUNDS || isStored(rounds.get(COMPACTED_ROUNDS - 1))) {
            runShortJob();
            rounds = committedRounds();
        }
    }

    private void runShortJob() {
        shortJobs++;
        assertFalse(shortJobs > MAX_SHORT_JOBS, "the rounds are not compacted");
        String id = String.format("run-%06d", 100 + shortJobs);
        accept(SimulatedCluster.job(id, "amber", "sweep", 1, 1, 1), 0.5);
        cluster.run(2);
    }

    private boolean isStored(Request round) {
        String key = MessageMatchers.text(round).split("\"write\":\"")[1].split("\"")[0];
        return cluster.keyValueStore().value(key) != null;
    }

    private List<String> committedAgain(List<Request> copies) {
        return copies.stream()
                .filter(cluster.keyValueStore()::commitAgain)
                .map(MessageMatchers::text)
                .collect(Collectors.toList());
    }

    private void assertReplicasWereNotDisturbed(int startsBefore) {
        assertEquals(startsBefore, cluster.startsOfJob(JOB));
        assertEquals(1, cluster.running(JOB));
        assertEquals(1, cluster.startsOfJob(OTHER));
        assertEquals(1, cluster.running(OTHER));
    }

    /** Guards against ran_twice: a copy of a compacted round was committed after a crash. */
    @ParameterizedTest
    @EnumSource(Copies.class)
    void copiesOfAnsweredRoundsFailWhileTheRecordOfAnEndedLeaderStands(Copies copies) {
        startCluster(1);
        runUntilFirstRoundsAreCompacted();
        int starts = cluster.startsOfJob(JOB);
        int leader = cluster.leader();
        List<Request> selected = copies.of(committedRounds());
        cluster.kill(leader);
        cluster.run(LEADER_RECORD_STANDS_SECONDS);
        assertEquals(leader, cluster.leader());
        assertEquals(List.of(), committedAgain(selected));
        cluster.run(20);
        cluster.restart(leader);
        cluster.run(20);
        assertReplicasWereNotDisturbed(starts);
    }

    /** Guards against ran_twice: a copy of a compacted round was committed during the term. */
    @ParameterizedTest
    @EnumSource(Copies.class)
    void copiesOfAnsweredRoundsFailDuringTheSameTerm(Copies copies) {
        startCluster(1);
        runUntilFirstRoundsAreCompacted();
        int starts = cluster.startsOfJob(JOB);
        assertEquals(List.of(), committedAgain(copies.of(committedRounds())));
        runShortJob();
        assertEquals(List.of(), committedAgain(copies.of(committedRounds())));
        cluster.restart(cluster.leader());
        cluster.run(20);
        assertReplicasWereNotDisturbed(starts);
    }

    /**
     * Guards against ran_twice: the first round of a later term has a predecessor of the former.
     */
    @Test
    void copiesOfRoundsOfTwoTermsFailInTheSecond() {
        startCluster(1);
        runUntilFirstRoundsAreCompacted();
        int starts = cluster.startsOfJob(JOB);
        int former = cluster.leader();
        cluster.restart(former);
        cluster.run(20);
        int roundsOfFormerTerm = committedRounds().size();
        while (isStored(committedRounds().get(roundsOfFormerTerm - 1))
                || committedRounds().size() < roundsOfFormerTerm + 2
                || isStored(committedRounds().get(roundsOfFormerTerm))) {
            runShortJob();
        }
        assertEquals(List.of(), committedAgain(committedRounds()));
        cluster.kill(cluster.leader());
        cluster.run(LEADER_RECORD_STANDS_SECONDS);
        assertEquals(List.of(), committedAgain(committedRounds()));
        cluster.run(20);
        assertReplicasWereNotDisturbed(starts);
    }

    /** Guards against copies of any transaction: acceptances, ends, archived records, elections. */
    @Test
    void copiesOfEveryTransactionFailWithTheHistoryOn() {
        startCluster(new SimulatedCluster(1, OptionalDouble.of(HISTORY_RETENTION_SECONDS)));
        runUntilFirstRoundsAreCompacted();
        int starts = cluster.startsOfJob(JOB);
        cluster.run(2 * HISTORY_RETENTION_SECONDS);
        assertNotEquals(List.of(), cluster.keyValueStore().keysUnder("ended/"));
        int leader = cluster.leader();
        List<Request> all = cluster.keyValueStore().committedTransactions();
        cluster.kill(leader);
        cluster.run(LEADER_RECORD_STANDS_SECONDS);
        assertEquals(List.of(), committedAgain(all).stream().filter(this::isNoHint).toList());
        cluster.run(20);
        cluster.restart(leader);
        cluster.run(20);
        assertReplicasWereNotDisturbed(starts);
        for (int number = 1; number <= shortJobs; number++) {
            assertEquals("done", cluster.phase(leader, String.format("run-%06d", 100 + number)));
        }
    }

    /** Image locations are hints, and a controller's registration says the same each time. */
    private boolean isNoHint(String transaction) {
        return !transaction.contains("{\"write\":\"images\"")
                && !transaction.contains("{\"write\":\"history-member/");
    }
}
