package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimWorker.Memory;
import org.springmill.transport.HttpClient.Request;

/**
 * A worker's process is replaced by another one on the same machine, which knows nothing, and late
 * copies of commands arrive that the process before it has carried out and answered.
 */
class WorkerRestartTest extends ClusterFixture {
    private static final double NOTICED_WITHIN_SECONDS = 1;
    private static final double HEARD_WITHIN_SECONDS = 0.6;
    private static final double NOTICE_SECONDS = 60;
    private static final double ELECTED_WITHIN_SECONDS = 3;
    private static final double LEADER_DOWN_SECONDS = 0.3;
    private static final double RECOVERY_SECONDS = 20;

    private List<Request> commands;
    private SimWorker machine;

    /** A service runs on one machine, and all direct commands are recorded. */
    @BeforeEach
    void startService() {
        startCluster(1);
        commands = recordDelivered(MessageMatchers::isCommand);
        acceptService(JOB, "blue", 1, 1);
        cluster.run(5);
        machine = cluster.workerRunning(FIRST_TASK);
    }

    private void deliverStartsAgain() {
        deliverAgain(MessageMatchers::isStartCommand);
    }

    private void deliverAgain(Predicate<Request> kind) {
        commands.stream()
                .filter(command -> command.address().equals(machine.address()))
                .filter(kind)
                .toList()
                .forEach(cluster.network()::deliverAgain);
    }

    /** Delivers copies of all starts, and checks how often the task has been started in the end. */
    private void assertStartsAfterCopies(int expected) {
        deliverStartsAgain();
        cluster.run(RECOVERY_SECONDS);
        assertEquals(expected, cluster.starts(FIRST_TASK));
    }

    /** The leader's process ends, and is back within a second. */
    private void restartLeader() {
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.run(LEADER_DOWN_SECONDS);
        cluster.restart(leader);
    }

    /** The task runs on another machine, after a preemption notice for the first. */
    private void moveTask() {
        machine.givePreemptionNotice(NOTICE_SECONDS);
        cluster.run(8);
        assertFalse(machine.runs(FIRST_TASK));
        assertEquals(1, cluster.running(JOB));
        assertTrue(machine.up());
    }

    /** Guards against ran_twice by a copy of the start of a task that was moved. */
    @ParameterizedTest
    @EnumSource(Memory.class)
    void aCopiedStartOfAMovedTaskStartsNothingOnANewProcess(Memory memory) {
        moveTask();
        machine.restartProcess(memory, 0);
        cluster.run(NOTICED_WITHIN_SECONDS);
        assertStartsAfterCopies(2);
    }

    /** The same with a leader that is back within a second, under a new term. */
    @Test
    void aCopiedStartOfAMovedTaskStartsNothingAfterALeaderRestartEither() {
        moveTask();
        machine.restartProcess(Memory.NOTHING, 0);
        restartLeader();
        cluster.run(ELECTED_WITHIN_SECONDS);
        assertStartsAfterCopies(2);
    }

    /** Guards against a start after the confirmation of a cancellation. */
    @Test
    void aCopiedStartOfACancelledTaskStartsNothingOnANewProcess() {
        assertEquals("cancelled", cluster.cancel(follower(), JOB));
        cluster.run(3);
        assertTrue(machine.up());
        machine.restartProcess(Memory.NOTHING, 0);
        cluster.run(NOTICED_WITHIN_SECONDS);
        assertStartsAfterCopies(1);
    }

    /** A new process has no tasks: they run again soon, not only once a lease has expired. */
    @ParameterizedTest
    @EnumSource(Memory.class)
    void tasksOfTheEarlierProcessRunAgain(Memory memory) {
        machine.restartProcess(memory, 0);
        cluster.run(5);
        assertEquals(1, cluster.running(JOB));
        assertEquals(2, cluster.starts(FIRST_TASK));
    }

    /** A new process may have sent more messages than the one before it when it is first heard. */
    @Test
    void tasksOfAnEarlierProcessWithFewMessagesRunAgain() {
        SimWorker young = cluster.addMachine("large", "a", 0.1);
        cluster.run(1);
        cluster.network().blockHeartbeatsFrom(young);
        acceptService(OTHER, "blue", 4, 7);
        cluster.run(2);
        young.restartProcess(Memory.NOTHING, 0);
        cluster.run(4);
        cluster.network().deliverHeartbeats();
        cluster.run(RECOVERY_SECONDS);
        assertTrue(cluster.running(OTHER) >= 3, cluster.running(OTHER) + " replicas");
    }

    /** The same while no heartbeat reaches a controller: the answers to commands show it. */
    @ParameterizedTest
    @EnumSource(Memory.class)
    void tasksOfTheEarlierProcessRunAgainThoughNoHeartbeatArrives(Memory memory) {
        cluster.network().blockHeartbeatsFrom(machine);
        machine.restartProcess(memory, 0);
        cluster.run(8);
        assertEquals(1, cluster.running(JOB));
        assertEquals(2, cluster.starts(FIRST_TASK));
    }

    /** Delayed duplicates of heartbeats are taken for no new process. */
    @Test
    void copiesOfHeartbeatsEndNothing() {
        cluster.network().duplicateHeartbeats(1);
        cluster.run(60);
        assertEquals(1, cluster.starts(FIRST_TASK));
        assertEquals(1, cluster.running(JOB));
    }

    /** Copies of an ended leader's starts do nothing, once it is back under a new term. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.3, 1, 5})
    void copiesOfAnEarlierTermDoNothingWhileTheProcessLives(double secondsAfterRestart) {
        moveTask();
        restartLeader();
        cluster.run(secondsAfterRestart);
        assertStartsAfterCopies(2);
    }

    /** The same for each of several new processes that follow each other at once. */
    @Test
    void eachOfSeveralNewProcessesGetsATokenWithItsFirstHeartbeat() {
        for (int process = 0; process < 5; process++) {
            machine.restartProcess(Memory.NOTHING, 0);
            cluster.run(HEARD_WITHIN_SECONDS);
            assertFalse(machine.hasSeenNoToken(), "process " + process);
        }
    }

    /** The leader gives a new process its token as soon as it is heard. */
    @Test
    void aNewProcessGetsATokenWithItsFirstHeartbeat() {
        machine.restartProcess(Memory.NOTHING, 0);
        cluster.run(HEARD_WITHIN_SECONDS);
        assertFalse(machine.hasSeenNoToken());
    }

    /** Copies of all commands do nothing while the process is the same. */
    @Test
    void copiesOfCommandsDoNothingWhileTheProcessLives() {
        moveTask();
        deliverAgain(command -> true);
        cluster.run(5);
        deliverAgain(command -> true);
        cluster.run(RECOVERY_SECONDS);
        assertEquals(2, cluster.starts(FIRST_TASK));
    }

    /**
     * A copy starts the task again on the machine where its attempt is: that is the same attempt.
     */
    @Test
    void aCopiedStartOfATaskThatIsStillThereDoesNoHarm() {
        machine.restartProcess(Memory.NOTHING, 0);
        deliverStartsAgain();
        cluster.run(RECOVERY_SECONDS);
        assertEquals(1, cluster.running(JOB));
    }

    /**
     * Guards against ran_twice by a copy that arrives before any controller has heard the new
     * process. Known to fail: docs/questions.md, 19.
     */
    @Test
    void aCopiedStartBeforeTheFirstHeartbeatOfANewProcessStartsNothing() {
        moveTask();
        machine.restartProcess(Memory.NOTHING, 3);
        assertStartsAfterCopies(2);
    }
}
