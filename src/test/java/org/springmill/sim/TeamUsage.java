package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;

/** What the tasks of a team take of its machines. */
record TeamUsage(double cpus, double gpus) {
    static final TeamUsage NONE = new TeamUsage(0, 0);

    /** With one more task of a job. */
    TeamUsage plus(JsonNode job) {
        return new TeamUsage(
                cpus + job.path("vcpus").asDouble(), gpus + job.path("cards").asDouble());
    }
}
