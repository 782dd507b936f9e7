package org.springmill.control.autoscaling;

import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;

/** Tells how long the machines that should report have been silent. */
final class HeartbeatSilence {
    private final MachineListing listing;
    private final Timeouts timeouts;
    private double listeningSince;

    HeartbeatSilence(MachineListing listing, Timeouts timeouts, double now) {
        this.listing = listing;
        this.timeouts = timeouts;
        this.listeningSince = now;
    }

    /**
     * Notes that no report could be read up to now, because this process stood still. All machines
     * get time to report again: a leader that woke from a pause would otherwise take the whole
     * fleet for dead before it has read a single report.
     */
    void restart(double now) {
        listeningSince = now;
    }

    /** Whether a machine is one whose worker has to report. */
    boolean isHeartbeatExpected(Machine machine) {
        return machine.state() == Machine.State.UP
                || (machine.state() == Machine.State.PROVISIONING && !machine.attempts().isEmpty());
    }

    /**
     * Whether a listed machine's report is overdue. That is well before its silence is acted on:
     * how many machines are silent together has to show by the time at which the first of them
     * might be deleted.
     */
    boolean isHeartbeatOverdue(Machine machine, double now) {
        return silentSeconds(machine, now) > timeouts.probeAfterSeconds() && !isUnlisted(machine);
    }

    /**
     * How long a machine that should report has not; zero for all others. A new leader gives all
     * machines time to find it.
     */
    double silentSeconds(Machine machine, double now) {
        if (!isHeartbeatExpected(machine)) {
            return 0;
        }
        double listenedSince = listeningSince + timeouts.deadAfterSeconds() / 2;
        return now - Math.max(machine.lastHeartbeatAt(), listenedSince);
    }

    /** Whether the cloud has stopped listing a machine for longer than its list may lag. */
    boolean isUnlisted(Machine machine) {
        double unheardSeconds = listing.listedAt() - machine.lastHeartbeatAt();
        return machine.listedAt() < listing.listedAt()
                && unheardSeconds > listing.longestLagSeconds();
    }
}
