package org.springmill.emulator;

import java.util.List;
import java.util.Optional;
import org.springmill.protocol.JobKind;
import org.springmill.protocol.Priority;

/**
 * What is emulated, for how long, and what fails. Durations are in seconds.
 *
 * @param seed of everything that is random
 * @param durationSeconds how long the emulation runs once the controllers are ready
 * @param warmUpSeconds time at the start that no latency, rate or share is counted for
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
     * @param run program and arguments, to which the path of the settings is added
     * @param restartSeconds after which one that has ended is started again
     */
    public record Controllers(
            int number,
            String run,
            double cpuShare,
            double memoryMb,
            int maxSockets,
            double restartSeconds) {}

    /** Machines of one type, spread evenly over all zones, up from the beginning. */
    public record MachineGroup(
            String type,
            int number,
            double cpus,
            double gpus,
            double memoryGb,
            double fetchGbPerSecond,
            double bootSeconds) {}

    /** Equal teams, with the guarantee and the limit of each. */
    public record Teams(int number, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /**
     * Jobs of one class, with the properties of their tasks.
     *
     * @param initial jobs that users submit at the beginning
     * @param rampSeconds during which they do so
     * @param perMinute jobs a minute from then on
     * @param runSeconds mean run time of a task, which varies by half; 0 for services
     * @param lifeSeconds mean time after which the user cancels a service
     * @param checkpointSeconds progress after which tasks save a checkpoint; 0 if they never save
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
     * A model that is served on replicas, whose number follows its requests.
     *
     * @param team number of the team whose replicas they are
     * @param loadSeconds how long a replica loads the model once it runs
     * @param requestsPerSecond requests that a replica answers in a second
     * @param queue requests that may wait at a replica
     * @param demandPerSecond requests a second, but for the surge
     * @param surgeAtSeconds when the rate rises at once, from the readiness of the controllers on
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
     * @param pollSeconds interval in which each unfinished job is asked about
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

    /** What fails. */
    public enum FaultKind {
        /** So many machines of one zone fall silent for good. */
        RACK_LOST,
        /** All machines of one zone fall silent. */
        ZONE_LOST,
        /** All machines of one region fall silent. */
        REGION_LOST,
        /** The leader's process is killed. */
        LEADER_KILLED,
        /** All controllers are killed. */
        CONTROLLERS_KILLED,
        /** The key-value store answers nobody. */
        STATE_SERVICE_DOWN
    }

    /**
     * A failure.
     *
     * @param atSeconds when it begins
     * @param forSeconds how long it lasts, where it ends by itself
     * @param machines how many machines a rack has
     */
    public record Fault(
            String name, FaultKind kind, double atSeconds, double forSeconds, int machines) {}

    /** Names of all zones, each with its region in front. */
    public List<String> zoneNames() {
        return java.util.stream.IntStream.range(0, zones)
                .mapToObj(zone -> "region-" + zone % regions + "-zone-" + zone / regions)
                .toList();
    }

    /** All machines. */
    public int machineCount() {
        return machines.stream().mapToInt(MachineGroup::number).sum();
    }
}
