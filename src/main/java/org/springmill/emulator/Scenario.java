package org.springmill.emulator;

import java.util.List;
import java.util.Optional;
import org.springmill.protocol.JobKind;
import org.springmill.protocol.Priority;

/**
 * What is emulated, for how long, and what fails. Durations are in seconds.
 *
 * @param seed seed of all random numbers
 * @param durationSeconds how long the emulation runs once the controllers are ready
 * @param warmUpSeconds time at the start for which no latency, rate or share is recorded
 */
public record Scenario(
        String name,
        long seed,
        double durationSeconds,
        double warmUpSeconds,
        Controllers controllers,
        int regions,
        int zones,
        List<MachineGroup> machines,
        Teams teams,
        List<JobClass> jobs,
        Users users,
        Workers workers,
        StoreLimits storeLimits,
        CloudLimits cloudLimits,
        List<Fault> faults,
        Optional<Serving> serving) {

    /**
     * The controllers.
     *
     * @param run program and arguments, to which the path of the settings is appended
     * @param restartSeconds delay before a controller that has ended is started again
     */
    public record Controllers(
            int number,
            String run,
            double cpuShare,
            double memoryMb,
            int maxSockets,
            double restartSeconds) {}

    /**
     * Machines of one type, spread evenly over all zones.
     *
     * @param number how many the cloud has
     * @param initial how many of them are rented and up at the start
     */
    public record MachineGroup(
            String type,
            int number,
            int initial,
            double cpus,
            double gpus,
            double memoryGb,
            double fetchGbPerSecond,
            double bootSeconds) {}

    /** Number of teams, with the guarantee and the limit that each of them has. */
    public record Teams(int number, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /**
     * Jobs of one class, with the properties of their tasks.
     *
     * @param initial jobs that users submit at the beginning
     * @param rampSeconds period over which the initial jobs are submitted
     * @param perMinute jobs per minute from then on
     * @param runSeconds mean run time of a task, which varies by half; 0 for services
     * @param lifeSeconds mean time after which the user cancels a service
     * @param checkpointSeconds run time between checkpoints; 0 if tasks save none
     * @param saveSeconds how long a save takes
     * @param team number of the team that submits them; negative for any
     */
    public record JobClass(
            String name,
            JobKind kind,
            Priority priority,
            int initial,
            double rampSeconds,
            double perMinute,
            int minTasks,
            int maxTasks,
            double cpus,
            double gpus,
            double memoryGb,
            int images,
            double imageGb,
            double runSeconds,
            double lifeSeconds,
            double checkpointSeconds,
            double saveSeconds,
            int team) {}

    /**
     * A model that is served on replicas, whose number follows the request rate.
     *
     * @param team number of the team that runs the replicas
     * @param loadSeconds time that a replica needs to load the model after it has started
     * @param requestsPerSecond requests that a replica answers per second
     * @param queue requests that may wait at a replica
     * @param demandPerSecond requests per second outside the surge
     * @param surgeFactor factor of the request rate during the surge
     * @param surgeAtSeconds beginning of the surge, counted from when the controllers are ready
     */
    public record Serving(
            int team,
            double cpus,
            double gpus,
            double memoryGb,
            double imageGb,
            double loadSeconds,
            double requestsPerSecond,
            double queue,
            double demandPerSecond,
            double surgeFactor,
            double surgeAtSeconds,
            double surgeForSeconds) {}

    /**
     * The users.
     *
     * @param pollSeconds interval at which users request the phase of each unfinished job
     * @param clients connection pools that they share
     */
    public record Users(double pollSeconds, int clients) {}

    /** Times of the workers, as in the platform's settings. */
    public record Workers(double reportSeconds, double leaseSeconds, double cancelSeconds) {}

    /** Limits and latency of the key-value store. */
    public record StoreLimits(
            double requestsPerSecond,
            double writesPerSecond,
            double valueKb,
            int writesPerCommit,
            double latencySeconds) {}

    /** Limits of the cloud. */
    public record CloudLimits(double requestsPerSecond, double listLagSeconds) {}

    /** Kinds of faults. */
    public enum FaultKind {
        /**
         * Some machines of the first zone fail: their tasks end and their workers do not report.
         */
        RACK_LOST,
        /** All machines of the first zone fail in the same way. */
        ZONE_LOST,
        /** All machines of the first region fail in the same way. */
        REGION_LOST,
        /** The leader's process is killed. */
        LEADER_KILLED,
        /** All controllers are killed. */
        CONTROLLERS_KILLED,
        /** The key-value store is down. */
        STATE_SERVICE_DOWN,
        /** The cloud answers 503. */
        CLOUD_DOWN,
        /**
         * The heartbeats of some machines of the first zone, and of all machines that come up
         * meanwhile, reach no controller, while commands reach them.
         */
        HEARTBEATS_LOST
    }

    /**
     * A fault.
     *
     * @param atSeconds when it begins, counted from when the controllers are ready
     * @param forSeconds how long it lasts; 0 if it lasts to the end; unused for killed processes
     * @param machines number of machines of a lost rack, or of the first zone whose heartbeats are
     *     lost
     */
    public record Fault(
            String name, FaultKind kind, double atSeconds, double forSeconds, int machines) {}

    /** Names of all zones, which begin with their region. */
    public List<String> zoneNames() {
        return java.util.stream.IntStream.range(0, zones)
                .mapToObj(zone -> "region-" + zone % regions + "-zone-" + zone / regions)
                .toList();
    }

    /** Number of machines of all types. */
    public int machineCount() {
        return machines.stream().mapToInt(MachineGroup::number).sum();
    }
}
