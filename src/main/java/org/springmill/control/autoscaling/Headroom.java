package org.springmill.control.autoscaling;

import java.util.List;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/**
 * Keeps free resources ready for tasks that have to start sooner than a machine boots: those that
 * are expected to arrive, and replicas that a correlated failure would end.
 */
final class Headroom {
    /**
     * Headroom for the replicas of a failing rack may cost this part of what the fleet costs, for
     * each class: next to nothing. Large replicas get hardly any for that; small ones lost with a
     * rack would otherwise wait for a boot, behind large ones that take the new machines.
     */
    private static final double FAILOVER_COST_SHARE = 0.01;

    /** Keeps a price per task from being zero. */
    private static final double MIN_PRICE_PER_TASK = 1e-6;

    private final Fleet fleet;
    private final ArrivalRateEstimator arrivalRates;
    private final Settings settings;

    Headroom(Fleet fleet, ArrivalRateEstimator arrivalRates, Settings settings) {
        this.fleet = fleet;
        this.arrivalRates = arrivalRates;
        this.settings = settings;
    }

    /** Packs the tasks that headroom is kept for. */
    void reserve(DemandPacking packing, double now) {
        double bootSeconds = fleet.catalog().slowestBootSeconds();
        double failoverBudget = FAILOVER_COST_SHARE * fleetCost();
        for (Submission job : arrivalRates.latencyCriticalJobs(bootSeconds)) {
            int expected = arrivalRates.expectedTasks(job.jobClass(), bootSeconds, now);
            int failover = failoverReplicas(job, failoverBudget);
            reserve(job, expected + failover, packing);
        }
    }

    /** Keeps headroom for tasks; in equal parts in all zones if their jobs have to be spread. */
    private void reserve(Submission job, int tasks, DemandPacking packing) {
        boolean spreadOverZones = job.spread() && job.zone() == null;
        if (!spreadOverZones) {
            packing.pack(PackingRequest.ofExpected(job, tasks));
            return;
        }
        List<String> zones = settings.zones();
        int tasksPerZone = (tasks + zones.size() - 1) / zones.size();
        for (String zone : zones) {
            packing.pack(PackingRequest.ofExpected(job.restrictedToZone(zone), tasksPerZone));
        }
    }

    /**
     * For how many replicas of a class headroom is kept should part of the fleet fail at once: as
     * many as run on the share of machines that may be declared dead together, as far as the budget
     * goes.
     */
    private int failoverReplicas(Submission job, double budget) {
        if (!job.isService()) {
            return 0;
        }
        double lost = runningTasks(job.jobClass()) * MachineHealth.CORRELATED_FAILURE_SHARE;
        double affordable = budget / Math.max(MIN_PRICE_PER_TASK, leastPricePerTask(job));
        return (int) Math.min(lost, affordable);
    }

    private int runningTasks(String jobClass) {
        int running = 0;
        for (Job job : fleet.clusterState().jobs().values()) {
            if (job.spec().jobClass().equals(jobClass)) {
                running += job.attemptCount();
            }
        }
        return running;
    }

    private double leastPricePerTask(Submission job) {
        return PricePerTask.least(fleet.catalog().all(), job, false, Integer.MAX_VALUE);
    }

    /** What all machines cost by the hour. */
    private double fleetCost() {
        double cost = 0;
        for (Machine machine : fleet.machines()) {
            if (machine.type() != null) {
                cost += machine.type().price(machine.spot());
            }
        }
        return cost;
    }
}
