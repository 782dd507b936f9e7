package org.springmill.protocol;

import java.util.List;
import java.util.Map;

/**
 * What the platform hands over at start, with what operators set beside it. Durations are in
 * seconds.
 *
 * @param node name of this controller
 * @param zone zone of this controller
 * @param listen address on which users and workers reach this controller
 * @param peerListen address on which the other controllers reach this one
 * @param peers addresses of the other controllers' links, by node
 * @param zones all zones of the deployment
 * @param skewSeconds bound on how far the time of day may be off
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

    /** What a team is guaranteed and limited to; 0 means none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /** Allows for the rounding of sums of decimal amounts. */
        private static final double TOLERANCE = 1e-6;

        /** Whether use of these amounts keeps to the team's limit. */
        public boolean withinLimit(double usedCpus, double usedGpus) {
            return within(usedCpus, cpusMax) && within(usedGpus, gpusMax);
        }

        /** Whether the team is guaranteed anything at all. */
        public boolean hasGuarantee() {
            return cpus > 0 || gpus > 0;
        }

        /** Whether use of these amounts is guaranteed to the team. */
        public boolean withinGuarantee(double usedCpus, double usedGpus) {
            return hasGuarantee() && within(usedCpus, cpus) && within(usedGpus, gpus);
        }

        private static boolean within(double used, double bound) {
            return bound == 0 || used <= bound + TOLERANCE;
        }
    }

    /**
     * An objective: a share of a class of jobs started or finished within a time.
     *
     * @param jobClass the class, or null for all work within guarantees
     */
    public record Objective(String kind, String jobClass, double withinSeconds, double share) {}

    /**
     * Times of the workers.
     *
     * @param heartbeatIntervalSeconds interval of their reports
     * @param leaseSeconds how long a worker keeps its tasks after it sent the last report that was
     *     answered
     * @param cancellationDeadlineSeconds within this time every task of a cancelled job must be
     *     gone
     */
    public record Workers(
            double heartbeatIntervalSeconds,
            double leaseSeconds,
            double cancellationDeadlineSeconds) {}

    /**
     * Limits of the key-value store.
     *
     * @param requestsPerSecond requests a second, of all controllers together
     * @param writesPerSecond puts and deletes a second, of all controllers together
     * @param valueBytes largest value
     * @param writesPerCommit most puts and deletes in one transaction
     */
    public record StoreLimits(
            double requestsPerSecond, double writesPerSecond, int valueBytes, int writesPerCommit) {
        /** An ordinary job's record fits. */
        private static final int MIN_HALVED_VALUE_BYTES = 1024;

        /** One write beside the deletion of what it replaces. */
        private static final int MIN_HALVED_WRITES = 2;

        /** Of the writes of one second, the share that one transaction may take. */
        private static final double COMMIT_SHARE_OF_SECOND = 0.6;

        /**
         * Bounds a transaction by the rate limit. Bursts are worth one second: a transaction larger
         * than that, less what others write, would never be accepted.
         */
        public StoreLimits {
            int writesPerBurst = (int) (writesPerSecond * COMMIT_SHARE_OF_SECOND);
            writesPerCommit = Math.max(1, Math.min(writesPerCommit, writesPerBurst));
        }

        /** The limits that keep to both sets: the smaller of each pair. */
        StoreLimits within(StoreLimits other) {
            return new StoreLimits(
                    Math.min(requestsPerSecond, other.requestsPerSecond),
                    Math.min(writesPerSecond, other.writesPerSecond),
                    Math.min(valueBytes, other.valueBytes),
                    Math.min(writesPerCommit, other.writesPerCommit));
        }

        /**
         * The limits to try once the service has refused a transaction for its size although it
         * kept to these.
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
     * The cloud's limit of requests, and by how much its list of machines is late.
     *
     * @param listLagSeconds nominal lag; it may be twice as long
     */
    public record CloudLimits(double requestsPerSecond, double listLagSeconds) {}

    /**
     * What this controller may use of its host.
     *
     * @param cpuShare share of one core
     */
    public record Limits(double cpuShare, double memoryMb, int maxSockets) {
        /**
         * What a controller holds beside its heap: classes, compiled code, buffers and stacks, as
         * bounded in the run line of deploy/service.toml.
         */
        static final int MEMORY_BESIDE_HEAP_MB = 72;

        private static final double BYTES_PER_MB = 1024.0 * 1024.0;

        /**
         * The largest heap that this controller may have.
         *
         * @param heapBoundBytes what the process was started with
         */
        public double heapBytes(double heapBoundBytes) {
            double besideTheRest = (memoryMb - MEMORY_BESIDE_HEAP_MB) * BYTES_PER_MB;
            return Math.min(heapBoundBytes, besideTheRest);
        }
    }

    /** How many controllers there are, this one included. */
    public int controllers() {
        return peers.size() + 1;
    }

    /** The team of that name, or null. */
    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
