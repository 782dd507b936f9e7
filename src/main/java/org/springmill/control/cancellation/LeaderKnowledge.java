package org.springmill.control.cancellation;

import java.util.List;
import java.util.Optional;
import org.springmill.protocol.PeerMessages.PendingCancellation;

/** What this controller knows as the leader. */
public interface LeaderKnowledge {
    /** Whether this controller leads and has read the state of earlier leaders. */
    boolean isComplete();

    /**
     * The machines on which tasks of a cancelled job may still be.
     *
     * @return empty if this controller does not lead, is still reading the state of earlier
     *     leaders, or does not know that the job is cancelled
     */
    Optional<List<String>> machinesOfCancelled(String job);

    /**
     * All cancelled jobs of which tasks may still be on machines.
     *
     * @return empty if this controller does not lead, or is still reading the state of earlier
     *     leaders
     */
    Optional<List<PendingCancellation>> pendingCancellations();
}
