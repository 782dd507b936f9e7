package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;

/** CPUs and GPUs that the tasks of a team use. */
record TeamUsage(double cpus, double gpus) {
    static final TeamUsage NONE = new TeamUsage(0, 0);

    /** Returns this usage plus one task of a job. */
    TeamUsage plus(JsonNode job) {
        return new TeamUsage(
                cpus + job.path("vcpus").asDouble(), gpus + job.path("cards").asDouble());
    }
}
