package org.springmill.protocol;

import java.util.List;
import java.util.Map;

/**
 * What the platform hands over at start, with what operators set beside it.
 *
 * @param peers addresses of the other controllers' links, by node
 * @param skewS bound on how far the time of day may be off
 */
public record Settings(
        String node,
        String zone,
        String listen,
        String peerListen,
        Map<String, String> peers,
        String cloudAddress,
        String stateAddress,
        List<String> zones,
        double skewS,
        List<Team> teams,
        List<Objective> objectives,
        Workers workers,
        State state,
        Cloud cloud,
        Limits limits,
        OperatorSettings operator) {

    /** What a team is guaranteed and limited to; 0 means none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        public boolean withinLimit(double usedCpus, double usedGpus) {
            return within(usedCpus, cpusMax) && within(usedGpus, gpusMax);
        }

        public boolean withinGuarantee(double usedCpus, double usedGpus) {
            return within(usedCpus, cpus) && within(usedGpus, gpus);
        }

        private static boolean within(double used, double bound) {
            return bound == 0 || used <= bound + 1e-6;
        }
    }

    /**
     * An aim: a share of a class (null: of all work within guarantees) started or finished within a
     * time.
     */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    public record Workers(double reportS, double leaseS, double cancelS) {}

    public record State(
            double requestsPerS, double writesPerS, int valueBytes, int writesPerCommit) {
        private static final int LEAST_VALUE_BYTES = 1024;

        /**
         * Bursts are worth one second: a transaction larger than that, less what others write,
         * would never be taken.
         */
        public State {
            writesPerCommit = Math.max(1, Math.min(writesPerCommit, (int) (writesPerS * 0.6)));
        }

        /** What keeps to both sets of limits. */
        State within(State other) {
            return new State(
                    Math.min(requestsPerS, other.requestsPerS),
                    Math.min(writesPerS, other.writesPerS),
                    Math.min(valueBytes, other.valueBytes),
                    Math.min(writesPerCommit, other.writesPerCommit));
        }

        /**
         * What is tried once the service has refused a transaction for its size although it kept to
         * these limits. Never less than an ordinary job's record takes, and one write beside what
         * it replaces.
         */
        public State halved() {
            return new State(
                    requestsPerS,
                    writesPerS,
                    Math.max(LEAST_VALUE_BYTES, valueBytes / 2),
                    Math.max(2, writesPerCommit / 2));
        }
    }

    public record Cloud(double requestsPerS, double listLagS) {}

    public record Limits(double cpuShare, double memoryMb, int maxSockets) {}

    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
