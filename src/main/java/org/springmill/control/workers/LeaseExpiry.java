package org.springmill.control.workers;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.HeartbeatSource;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.metrics.Metrics;
import org.springmill.protocol.WorkerMessages.ExitCause;

/**
 * Ends the attempts of workers whose leases have expired (claim 6.3 of docs/design.md), and marks
 * the machines whose leases are overdue for renewal.
 */
final class LeaseExpiry {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseExpiry.class);
    private static final String NEVER_HEARD = "NOTHING";

    private final Fleet fleet;
    private final WorkerLeases leases;
    private final Metrics metrics;
    private final Runnable onChange;

    /**
     * @param onChange called when a placement round may have something to do
     */
    LeaseExpiry(Fleet fleet, WorkerLeases leases, Metrics metrics, Runnable onChange) {
        this.fleet = fleet;
        this.leases = leases;
        this.metrics = metrics;
        this.onChange = onChange;
    }

    /** Records the time from which a quorum of controllers is known to know this term. */
    void observeQuorum(double now) {
        leases.observeQuorum(now);
    }

    /**
     * Handles the lease of one machine's worker.
     *
     * @param peersMayRenewUntil time until which other controllers may renew leases
     * @return whether the lease has expired
     */
    boolean check(Machine machine, double peersMayRenewUntil, double now) {
        LeaseGrant grant = leases.latestGrant(machine, peersMayRenewUntil);
        if (now > leases.expiresAt(grant)) {
            expired(machine, grant, now);
            return true;
        }
        if (machine.state() == Machine.State.UP
                && !machine.liveness().isRenewalOverdue()
                && leases.isRenewalOverdue(machine, peersMayRenewUntil, now)) {
            renewalOverdue(machine, now);
        }
        return false;
    }

    /** Claim 6.3: all attempts on a machine ended when its worker's lease expired. */
    private void expired(Machine machine, LeaseGrant grant, double now) {
        boolean endsAttempt = machine.attempts().stream().anyMatch(LeaseExpiry::endsWithLease);
        if (machine.state() == Machine.State.UP || endsAttempt) {
            recordExpiry(machine, grant, now);
        }
        for (TaskAttempt attempt : machine.attemptsSnapshot()) {
            if (attempt.state() != TaskAttempt.State.CLAIMING) {
                metrics.recordLostAttempt();
                fleet.end(attempt, ExitCause.NONE);
            }
        }
        if (machine.state() == Machine.State.UP) {
            machine.transition(Machine.State.LEASE_EXPIRED);
            machine.images().clear();
            onChange.run();
        }
    }

    /** Whether an attempt may have run under the lease and has not been ended before. */
    private static boolean endsWithLease(TaskAttempt attempt) {
        return attempt.state() != TaskAttempt.State.CLAIMING
                && attempt.state() != TaskAttempt.State.ENDED;
    }

    private void recordExpiry(Machine machine, LeaseGrant grant, double now) {
        metrics.recordLeaseExpired();
        LOG.warn(
                "lease of worker {} expired: {} {} s ago, last heard {} s ago by {}; term {}, epoch {}, token {}, state {}",
                machine.name(),
                grant.kind(),
                seconds(now - grant.at()),
                seconds(now - machine.liveness().lastHeartbeatAt()),
                lastHeardBy(machine),
                fleet.term(),
                machine.epoch(),
                machine.fencingToken(),
                machine.state());
    }

    /**
     * The heartbeats of a worker that responds to commands have reached no controller for a whole
     * lease: what runs there ends with its epoch.
     */
    private void renewalOverdue(Machine machine, double now) {
        machine.liveness().markRenewalOverdue();
        metrics.recordRenewalOverdue();
        LOG.warn(
                "heartbeats of worker {} reach no controller: last answered {} s ago, last heard {} s ago by {}; term {}, epoch {}",
                machine.name(),
                seconds(now - machine.liveness().lastAnsweredAt()),
                seconds(now - machine.liveness().lastHeartbeatAt()),
                lastHeardBy(machine),
                fleet.term(),
                machine.epoch());
    }

    private static String lastHeardBy(Machine machine) {
        return machine.liveness().lastSource().map(HeartbeatSource::name).orElse(NEVER_HEARD);
    }

    private static String seconds(double duration) {
        return String.format(Locale.ROOT, "%.3f", duration);
    }
}
