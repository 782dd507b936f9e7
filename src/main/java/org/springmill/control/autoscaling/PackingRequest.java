package org.springmill.control.autoscaling;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.springmill.control.cluster.EquivalenceClass;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.ZoneCounts;
import org.springmill.protocol.Submission;

/**
 * A request to pack tasks of the same size.
 *
 * @param spec the job that they belong to, or one that represents their class
 * @param tasks the number of tasks
 * @param tasksPerZone supplies, for each task, the number of its job's tasks in each zone
 * @param excluded machines on which they may not be placed
 * @param equivalenceClass the class of the tasks, if all of that class fit on the same machines
 * @param expected whether the tasks have not arrived yet
 * @param maxPriceRatio machines are planned only up to this multiple of the lowest price
 */
record PackingRequest(
        Submission spec,
        int tasks,
        Supplier<ZoneCounts> tasksPerZone,
        Predicate<Machine> excluded,
        Optional<EquivalenceClass> equivalenceClass,
        boolean expected,
        double maxPriceRatio) {

    /** Tasks of one job, which share its limit of tasks per zone. */
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

    /** Returns this request with an equivalence class whose tasks all fit on the same machines. */
    PackingRequest withEquivalenceClass(EquivalenceClass newClass) {
        return new PackingRequest(
                spec,
                tasks,
                tasksPerZone,
                excluded,
                Optional.of(newClass),
                expected,
                maxPriceRatio);
    }

    /** Returns this request with machines planned only up to this multiple of the lowest price. */
    PackingRequest withMaxPriceRatio(double ratio) {
        return new PackingRequest(
                spec, tasks, tasksPerZone, excluded, equivalenceClass, expected, ratio);
    }
}
