package org.springmill.control.autoscaling;

import java.util.List;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/**
 * Keeps free resources ready for tasks that must start sooner than a machine boots: tasks that are
 * expected to arrive, and replicas that a correlated failure would stop.
 */
final class Headroom {
    /**
     * Share of the fleet's cost that failover headroom may cost for each class. It is small, so
     * large replicas get hardly any headroom. Without headroom, small replicas lost with a rack
     * would wait for a machine to boot, behind large replicas that take the new machines.
     */
    private static final double FAILOVER_COST_SHARE = 0.01;

    /** Lower bound of the price per task, to avoid a division by zero. */
    private static final double MIN_PRICE_PER_TASK = 1e-6;

    private final Fleet fleet;
    private final ArrivalRateEstimator arrivalRates;
    private final Settings settings;

    Headroom(Fleet fleet, ArrivalRateEstimator arrivalRates, Settings settings) {
        this.fleet = fleet;
        this.arrivalRates = arrivalRates;
        this.settings = settings;
    }

    /** Packs the tasks for which headroom is kept. */
    void reserve(DemandPacking packing, double now) {
        double bootSeconds = fleet.catalog().slowestBootSeconds();
        double failoverBudget = FAILOVER_COST_SHARE * fleetCost();
        for (Submission job : arrivalRates.latencyCriticalJobs(bootSeconds)) {
            int expected = arrivalRates.expectedTasks(job.jobClass(), bootSeconds, now);
            int failover = failoverReplicas(job, failoverBudget);
            reserve(job, expected + failover, packing);
        }
    }

    /** Packs expected tasks, in equal parts in all zones if their jobs must be spread. */
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
     * Number of replicas of a class to keep headroom for in case part of the fleet fails at the
     * same time: as many as run on the share of machines that may be declared dead together, within
     * the budget.
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

    /** Hourly cost of all machines. */
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
