package org.springmill.control.recall;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.recall.RecallReservations.ActiveRecall;

/** Marks and stops the victims of recalls; stop commands for one machine are sent together. */
final class VictimStops {
    private static final Logger LOG = LoggerFactory.getLogger(VictimStops.class);

    private final Fleet fleet;
    private final GracePeriods grace;
    private final Metrics metrics;
    private final Consumer<Machine> commandSender;
    private final Set<Machine> machinesWithCommands = new LinkedHashSet<>();

    /**
     * @param commandSender sends a machine the commands that are due
     */
    VictimStops(RecallContext context, GracePeriods grace, Consumer<Machine> commandSender) {
        this.fleet = context.fleet();
        this.metrics = context.metrics();
        this.grace = grace;
        this.commandSender = commandSender;
    }

    /** Marks a recall's victims as recalled, so that no other recall chooses them. */
    void markRecalled(ActiveRecall recall) {
        for (TaskAttempt victim : recall.victims()) {
            victim.markRecalled(true);
            fleet.clusterState().recordStopRequested(victim);
        }
    }

    /** Removes the mark from those victims of a recall that were not sent a stop command. */
    void unmarkRecalled(ActiveRecall recall) {
        for (TaskAttempt victim : recall.victims()) {
            if (fleet.clusterState().retractStopRequest(victim)) {
                victim.markRecalled(false);
            }
        }
    }

    /** Stops a recall's victims, each with its grace period. */
    void stop(ActiveRecall recall) {
        for (TaskAttempt victim : recall.victims()) {
            metrics.recordTaskRecalled();
            LOG.debug(
                    "stopping recalled task {} for job {} on machine {}",
                    victim.claim().task(),
                    recall.beneficiary().id(),
                    recall.machine().name());
            fleet.stop(victim, grace.graceSeconds(victim));
        }
        machinesWithCommands.add(recall.machine());
    }

    /** Ends the grace period of those victims that are still stopping. */
    void endGracePeriod(ActiveRecall recall) {
        recall.victims().stream()
                .filter(victim -> victim.state() == TaskAttempt.State.STOPPING)
                .forEach(victim -> fleet.stop(victim, 0));
        machinesWithCommands.add(recall.machine());
    }

    /** Sends the stop commands that are due, machine by machine. */
    void send() {
        machinesWithCommands.forEach(commandSender);
        machinesWithCommands.clear();
    }
}
