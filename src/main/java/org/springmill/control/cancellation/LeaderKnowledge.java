package org.springmill.control.cancellation;

import java.util.List;
import java.util.Optional;

/** What this controller knows as the leader. */
@FunctionalInterface
public interface LeaderKnowledge {
    /**
     * The machines on which tasks of a cancelled job may still be.
     *
     * @return empty if this controller does not lead, is still reading the state of earlier
     *     leaders, or does not know that the job is cancelled
     */
    Optional<List<String>> machinesOfCancelled(String job);
}
