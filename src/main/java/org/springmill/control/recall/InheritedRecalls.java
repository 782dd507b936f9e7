package org.springmill.control.recall;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.borrowing.Recall;
import org.springmill.control.borrowing.RecallLog;
import org.springmill.control.borrowing.RecallProgress;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.recall.RecallReservations.ActiveRecall;
import org.springmill.protocol.TaskId;
import org.springmill.transport.EventLoop;

/** Takes over, at failover, the recalls that earlier leaders committed. */
final class InheritedRecalls {
    private static final Logger LOG = LoggerFactory.getLogger(InheritedRecalls.class);

    private final Fleet fleet;
    private final EventLoop loop;
    private final RecallLog recallLog;
    private final RecallReservations reservations;
    private final RecallSettlement settlement;
    private final VictimStops victimStops;
    private final GracePeriods grace;

    /** The committed recalls, kept here until jobs and attempts are recovered. */
    private Collection<Recall> loaded = List.of();

    InheritedRecalls(
            RecallContext context,
            RecallLog recallLog,
            RecallReservations reservations,
            RecallSettlement settlement,
            VictimStops victimStops,
            GracePeriods grace) {
        this.fleet = context.fleet();
        this.loop = context.loop();
        this.recallLog = recallLog;
        this.reservations = reservations;
        this.settlement = settlement;
        this.victimStops = victimStops;
        this.grace = grace;
    }

    /**
     * Reads the committed recalls from the key-value store.
     *
     * @param done called with whether they could be read
     */
    void load(Consumer<Boolean> done) {
        recallLog.load(
                found -> {
                    loaded = found == null ? List.of() : found;
                    done.accept(found != null);
                });
    }

    /** Takes over the loaded recalls; called once jobs and attempts are recovered. */
    void adoptAll() {
        loaded.forEach(this::adopt);
        loaded = List.of();
    }

    /**
     * Takes over a committed recall. Whether its victims were sent stop commands is unknown until
     * heartbeats report their state. Only then is the recall resumed; without these heartbeats it
     * expires.
     */
    private void adopt(Recall recall) {
        Job beneficiary = fleet.clusterState().job(recall.beneficiary());
        Machine machine = fleet.getOrAdd(recall.machine());
        boolean claimed = beneficiary != null && hasClaimSince(beneficiary, machine, recall);
        if (beneficiary == null || !beneficiary.isActive() || claimed) {
            LOG.info(
                    "deleting inherited recall {} for job {} on machine {}: job is not active or"
                            + " its task is claimed already",
                    recall.key(),
                    recall.beneficiary(),
                    recall.machine());
            settlement.deleteRecord(recall.key());
            return;
        }
        List<TaskAttempt> victims = knownVictims(recall, machine);
        double checkpointTimeoutSeconds =
                grace.checkpointTimeoutSeconds(grace.longestCheckpointSeconds(victims));
        double graceLeftSeconds = recall.graceEndsAt() - loop.timeOfDay();
        RecallProgress progress =
                new RecallProgress(recall, checkpointTimeoutSeconds, grace.endTimeoutSeconds());
        progress.recovered(
                Math.max(0, Math.min(graceLeftSeconds, checkpointTimeoutSeconds))
                        + grace.endTimeoutSeconds(),
                loop.now());
        ActiveRecall active =
                new ActiveRecall(progress, beneficiary, machine, victims, 0, 0, loop.now());
        reservations.add(active);
        victimStops.markRecalled(active);
    }

    private static boolean hasClaimSince(Job job, Machine machine, Recall recall) {
        return job.attempts().stream()
                .anyMatch(
                        attempt ->
                                attempt.machine() == machine
                                        && attempt.claim().round() > recall.round());
    }

    private static List<TaskAttempt> knownVictims(Recall recall, Machine machine) {
        Set<TaskId> tasks = new HashSet<>(recall.victims());
        return machine.attemptsSnapshot().stream()
                .filter(attempt -> tasks.contains(attempt.claim().task()))
                .filter(attempt -> attempt.claim().round() <= recall.round())
                .toList();
    }
}
