package org.springmill.control.autoscaling;

import java.util.Optional;
import org.springmill.control.cluster.Machine;

/**
 * What it proves that the cloud's lists do not name a machine. Lists lag: one that misses a machine
 * may be older than the machine, and one that names it may be older than its deletion.
 */
final class UnlistedMachines {
    /** Leaves half a lag for the time that a list of several pages takes to be read. */
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
     * Whether the latest list misses a machine whose last heartbeat is older than lists lag. Its
     * silence is then its own, and not one of the network.
     */
    boolean contains(Machine machine) {
        double secondsSinceHeartbeat = listing.listedAt() - machine.lastHeartbeatAt();
        return machine.listedAt() < listing.listedAt()
                && secondsSinceHeartbeat > listing.longestLagSeconds();
    }

    /** The reason to delete a machine for what the lists say of it; empty if there is none. */
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
     * Whether a machine is known from claims alone: an earlier leader asked for its deletion, and
     * ended before that was committed. Without word from every other controller its silence proves
     * nothing, and it has no address to be asked at; its claims would stand, and their tasks wait,
     * for as long as one controller is away.
     */
    private boolean isClaimedButNeverListed(Machine machine) {
        double listedSeconds = listing.listedAt() - startedAt;
        return !machine.attempts().isEmpty() && listedSeconds > listing.longestLagSeconds();
    }

    /**
     * Whether a machine that was listed is deleted by the cloud's word. A machine stays listed
     * until it is deleted, but a list may be older than the one before it; so only one read longer
     * after the last that named the machine than any list lags, responses and further pages
     * included, is proof.
     */
    private boolean isNoLongerListed(Machine machine) {
        boolean wasListed = machine.listedAt() > Double.NEGATIVE_INFINITY;
        double missingSeconds = listing.listedAt() - machine.listedAt();
        return wasListed && missingSeconds > LAGS_UNTIL_DELETED * listing.longestLagSeconds();
    }
}
