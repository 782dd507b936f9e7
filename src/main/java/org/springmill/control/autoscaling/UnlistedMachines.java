package org.springmill.control.autoscaling;

import java.util.Optional;
import org.springmill.control.cluster.Machine;

/**
 * Decides what follows if the cloud's lists do not name a machine. Lists lag: a list that does not
 * name a machine may be older than the machine, and one that names it may be older than its
 * deletion.
 */
final class UnlistedMachines {
    /** Includes half a lag for the time that it takes to read a list of several pages. */
    private static final double LAGS_UNTIL_DELETED = 1.5;

    private final MachineListing listing;
    private final double startedAt;

    /**
     * @param now start of the leader's term in seconds
     */
    UnlistedMachines(MachineListing listing, double now) {
        this.listing = listing;
        this.startedAt = now;
    }

    /**
     * Whether the latest list does not name a machine, and its last heartbeat is older than a list
     * can lag. The heartbeats are then missing because of the machine and not of the network.
     */
    boolean contains(Machine machine) {
        double secondsSinceHeartbeat = listing.listedAt() - machine.liveness().lastHeartbeatAt();
        return machine.listedAt() < listing.listedAt()
                && secondsSinceHeartbeat > listing.longestLagSeconds();
    }

    /** The reason to delete a machine that the lists do not name; empty if there is none. */
    Optional<DeletionReason> reasonToDelete(Machine machine) {
        if (machine.type() == null) {
            return isClaimedButNeverListed(machine)
                    ? Optional.of(DeletionReason.CLAIMED_BUT_UNLISTED)
                    : Optional.empty();
        }
        return isNoLongerListed(machine)
                ? Optional.of(DeletionReason.NO_LONGER_LISTED)
                : Optional.empty();
    }

    /**
     * Whether a machine is known only from claims: an earlier leader requested its deletion, and
     * its term ended before that was committed. Unless every other controller responds, missing
     * heartbeats do not prove that its tasks have ended, and there is no address to send commands
     * to. Without this rule its claims would be kept, and their tasks would wait, for as long as
     * one controller is down.
     */
    private boolean isClaimedButNeverListed(Machine machine) {
        double listedSeconds = listing.listedAt() - startedAt;
        return !machine.attempts().isEmpty() && listedSeconds > listing.longestLagSeconds();
    }

    /**
     * Whether the lists prove that a machine was deleted. A machine stays listed until it is
     * deleted, but a list may be older than the previous one. So the list must have been read later
     * than the last one that named the machine by more than the longest lag, plus the time to read
     * all pages.
     */
    private boolean isNoLongerListed(Machine machine) {
        boolean wasListed = machine.listedAt() > Double.NEGATIVE_INFINITY;
        double missingSeconds = listing.listedAt() - machine.listedAt();
        return wasListed && missingSeconds > LAGS_UNTIL_DELETED * listing.longestLagSeconds();
    }
}
