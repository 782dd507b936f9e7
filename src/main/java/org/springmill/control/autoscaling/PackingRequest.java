package org.springmill.control.autoscaling;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.springmill.control.cluster.EquivalenceClass;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.ZoneCounts;
import org.springmill.protocol.Submission;

/**
 * Tasks of the same size that are to be packed.
 *
 * @param spec the job that they belong to, or one that represents their class
 * @param tasks how many there are
 * @param tasksPerZone called for each task: the number of its job's tasks in each zone
 * @param excluded machines on which they may not be placed
 * @param equivalenceClass their class, if all tasks of that class fit on the same machines
 * @param expected whether they have yet to arrive
 * @param maxPriceRatio machines are planned for them only up to so many times the least price
 */
record PackingRequest(
        Submission spec,
        int tasks,
        Supplier<ZoneCounts> tasksPerZone,
        Predicate<Machine> excluded,
        Optional<EquivalenceClass> equivalenceClass,
        boolean expected,
        double maxPriceRatio) {

    /** Tasks of one job, which together must keep to its spread over zones. */
    static PackingRequest ofJob(
            Submission spec, int tasks, ZoneCounts tasksPerZone, Predicate<Machine> excluded) {
        return new PackingRequest(
                spec,
                tasks,
                () -> tasksPerZone,
                excluded,
                Optional.empty(),
                false,
                Double.POSITIVE_INFINITY);
    }

    /** Expected tasks, each of a job of its own, which may be placed on any machine. */
    static PackingRequest ofExpected(Submission spec, int tasks) {
        return new PackingRequest(
                spec,
                tasks,
                ZoneCounts::new,
                machine -> false,
                Optional.empty(),
                true,
                Double.POSITIVE_INFINITY);
    }

    /** The same, where all tasks of an equivalence class fit on the same machines. */
    PackingRequest withEquivalenceClass(EquivalenceClass newShape) {
        return new PackingRequest(
                spec,
                tasks,
                tasksPerZone,
                excluded,
                Optional.of(newShape),
                expected,
                maxPriceRatio);
    }

    /** The same, with machines planned only up to so many times the least price. */
    PackingRequest withMaxPriceRatio(double ratio) {
        return new PackingRequest(
                spec, tasks, tasksPerZone, excluded, equivalenceClass, expected, ratio);
    }
}
