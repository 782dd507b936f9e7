package org.springmill.protocol;

import java.util.List;
import java.util.Map;

/**
 * Settings of one controller: the platform's settings file with the operators' own settings.
 *
 * @param node name of this controller
 * @param zone zone of this controller
 * @param listen address on which users and workers reach this controller
 * @param peerListen address on which the other controllers reach this one
 * @param peers addresses of the other controllers' peer links, by node
 * @param cloudAddress address of the cloud's API
 * @param storeAddress address of the key-value store
 * @param zones all zones of the deployment
 * @param skewSeconds bound on the error of the time of day
 * @param teams quotas of the teams
 * @param objectives service-level objectives
 * @param workers intervals and deadlines of the workers
 * @param storeLimits rate and size limits of the key-value store
 * @param cloudLimits rate limit of the cloud, and lag of its list
 * @param limits resources of its host that this controller may use
 * @param operator the operators' own settings, or their defaults
 */
public record Settings(
        String node,
        String zone,
        String listen,
        String peerListen,
        Map<String, String> peers,
        String cloudAddress,
        String storeAddress,
        List<String> zones,
        double skewSeconds,
        List<Team> teams,
        List<Objective> objectives,
        Workers workers,
        StoreLimits storeLimits,
        CloudLimits cloudLimits,
        Limits limits,
        OperatorSettings operator) {

    /**
     * Quota of a team: its guarantee and its limit. An amount of 0 means no guarantee or no limit.
     *
     * @param name of the team
     * @param cpus guaranteed CPUs
     * @param cpusMax limit of CPUs
     * @param gpus guaranteed GPUs
     * @param gpusMax limit of GPUs
     */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /** Tolerates the rounding of sums of decimal amounts. */
        private static final double TOLERANCE = 1e-6;

        /** Whether this usage is within the team's limit. */
        public boolean withinLimit(double usedCpus, double usedGpus) {
            return within(usedCpus, cpusMax) && within(usedGpus, gpusMax);
        }

        /** Whether the team has a guarantee. */
        public boolean hasGuarantee() {
            return cpus > 0 || gpus > 0;
        }

        /** Whether this usage is within the team's guarantee. */
        public boolean withinGuarantee(double usedCpus, double usedGpus) {
            return hasGuarantee() && within(usedCpus, cpus) && within(usedGpus, gpus);
        }

        private static boolean within(double used, double bound) {
            return bound == 0 || used <= bound + TOLERANCE;
        }
    }

    /**
     * A service-level objective, such as a share of the jobs of a class that must start in time.
     *
     * @param kind what is measured, as the settings name it
     * @param jobClass the class of jobs; null for all work within guarantees
     * @param withinSeconds the time; 0 if the kind has none
     * @param share of the jobs that must meet the time; 0 if the kind has none
     */
    public record Objective(String kind, String jobClass, double withinSeconds, double share) {}

    /**
     * Intervals and deadlines of the workers.
     *
     * @param heartbeatIntervalSeconds interval of their heartbeats
     * @param leaseSeconds how long a worker keeps its tasks after it sent the last heartbeat that
     *     was answered
     * @param cancellationDeadlineSeconds time in which every task of a cancelled job must have
     *     ended
     */
    public record Workers(
            double heartbeatIntervalSeconds,
            double leaseSeconds,
            double cancellationDeadlineSeconds) {}

    /**
     * Limits of the key-value store.
     *
     * @param requestsPerSecond requests per second of all controllers together
     * @param writesPerSecond puts and deletes per second of all controllers together
     * @param valueBytes size of the largest value
     * @param writesPerCommit maximum number of puts and deletes in one transaction
     */
    public record StoreLimits(
            double requestsPerSecond, double writesPerSecond, int valueBytes, int writesPerCommit) {
        /** Large enough for the record of a typical job. */
        private static final int MIN_HALVED_VALUE_BYTES = 1024;

        /** One put of a key and one delete of the key that it replaces. */
        private static final int MIN_HALVED_WRITES = 2;

        /** Maximum size of a transaction, as a share of the writes per second. */
        private static final double COMMIT_SHARE_OF_SECOND = 0.6;

        /**
         * Bounds the size of a transaction by the rate limit. The store accepts bursts of at most
         * one second's writes: a transaction that exceeds this together with the writes of other
         * controllers would never be accepted.
         */
        public StoreLimits {
            int writesPerBurst = (int) (writesPerSecond * COMMIT_SHARE_OF_SECOND);
            writesPerCommit = Math.max(1, Math.min(writesPerCommit, writesPerBurst));
        }

        /** The limits that satisfy both sets: the smaller of each pair. */
        StoreLimits within(StoreLimits other) {
            return new StoreLimits(
                    Math.min(requestsPerSecond, other.requestsPerSecond),
                    Math.min(writesPerSecond, other.writesPerSecond),
                    Math.min(valueBytes, other.valueBytes),
                    Math.min(writesPerCommit, other.writesPerCommit));
        }

        /**
         * The limits to use once the store has refused a transaction for its size although it was
         * within these.
         */
        public StoreLimits halved() {
            return new StoreLimits(
                    requestsPerSecond,
                    writesPerSecond,
                    Math.max(MIN_HALVED_VALUE_BYTES, valueBytes / 2),
                    Math.max(MIN_HALVED_WRITES, writesPerCommit / 2));
        }
    }

    /**
     * Rate limit of the cloud, and lag of its list of machines.
     *
     * @param requestsPerSecond requests per second of all controllers together
     * @param listLagSeconds nominal lag of the list; the actual lag may be twice as long
     */
    public record CloudLimits(double requestsPerSecond, double listLagSeconds) {}

    /**
     * Resources of its host that this controller may use.
     *
     * @param cpuShare share of one core
     * @param memoryMb memory of the process, in MB
     * @param maxSockets maximum number of open sockets
     */
    public record Limits(double cpuShare, double memoryMb, int maxSockets) {
        /**
         * Memory of a controller outside its heap, in MB: classes, compiled code, buffers and
         * stacks, as bounded in the run line of deploy/service.toml.
         */
        static final int MEMORY_BESIDE_HEAP_MB = 72;

        private static final double BYTES_PER_MB = 1024.0 * 1024.0;

        /**
         * The largest heap that this controller may use, in bytes.
         *
         * @param heapBoundBytes maximum heap size of the JVM
         */
        public double heapBytes(double heapBoundBytes) {
            double remainingBytes = (memoryMb - MEMORY_BESIDE_HEAP_MB) * BYTES_PER_MB;
            return Math.min(heapBoundBytes, remainingBytes);
        }
    }

    /** The number of controllers, this one included. */
    public int controllers() {
        return peers.size() + 1;
    }

    /** The team of that name; null if there is none. */
    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
