package org.springmill.control.coordination;

import java.util.function.Predicate;
import java.util.function.Supplier;
import org.springmill.protocol.Submission;

/**
 * Tasks of the same size for which room is to be found.
 *
 * @param spec the job that they belong to, or one that stands for theirs
 * @param tasks how many there are
 * @param tasksPerZone asked for each task: what the zones hold of its job
 * @param excluded machines that are no room for them
 */
record PackingRequest(
        Submission spec,
        int tasks,
        Supplier<ZoneCounts> tasksPerZone,
        Predicate<Machine> excluded) {

    /** Tasks of one job, which together must keep to its spread over zones. */
    static PackingRequest ofJob(
            Submission spec, int tasks, ZoneCounts tasksPerZone, Predicate<Machine> excluded) {
        return new PackingRequest(spec, tasks, () -> tasksPerZone, excluded);
    }

    /** Expected tasks, each of a job of its own, which may be placed on any machine. */
    static PackingRequest ofExpected(Submission spec, int tasks) {
        return new PackingRequest(spec, tasks, ZoneCounts::new, machine -> false);
    }
}
