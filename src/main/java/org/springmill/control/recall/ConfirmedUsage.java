package org.springmill.control.recall;

import java.util.HashMap;
import java.util.Map;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/**
 * Resources that each team is confirmed to use by recent heartbeats. A task that no recent
 * heartbeat reports may have ended, or may never have started. When such tasks were counted,
 * recalls could leave a team below its entitlement.
 */
final class ConfirmedUsage {
    private final Fleet fleet;
    private final double validSeconds;

    /** Computed on the first use after a reset; null until then. */
    private Map<String, Resources> byTeam;

    /**
     * @param validSeconds how long a heartbeat confirms that a task runs
     */
    ConfirmedUsage(Fleet fleet, double validSeconds) {
        this.fleet = fleet;
        this.validSeconds = validSeconds;
    }

    /** Discards the cached usage; the next call of {@link #of} computes it again. */
    void reset() {
        byTeam = null;
    }

    /** Resources of a team's confirmed tasks, without those that are already recalled. */
    Resources of(String team) {
        if (byTeam == null) {
            byTeam = compute();
        }
        return byTeam.getOrDefault(team, Resources.NONE);
    }

    private Map<String, Resources> compute() {
        Map<String, Resources> usage = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            for (TaskAttempt attempt : machine.attempts()) {
                if (isConfirmed(attempt) && !attempt.isRecalled()) {
                    Submission spec = attempt.job().spec();
                    usage.merge(spec.team(), Resources.of(spec), Resources::plus);
                }
            }
        }
        return usage;
    }

    /** Whether a recent heartbeat reported a task as running or fetching its image. */
    boolean isConfirmed(TaskAttempt attempt) {
        boolean started =
                attempt.state() == TaskAttempt.State.RUNNING
                        || attempt.state() == TaskAttempt.State.FETCHING;
        return started && fleet.now() - attempt.lastReportedAt() < validSeconds;
    }
}
