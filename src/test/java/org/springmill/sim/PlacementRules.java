package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import org.springmill.protocol.Settings;

/** On which machines tasks of a job may run, and whether there is capacity for one. */
final class PlacementRules {
    private static final double ROUNDING_ERROR = 1e-6;

    private final SimCloud cloud;
    private final Settings settings;
    private final JobHistories jobs;

    PlacementRules(SimCloud cloud, Settings settings, JobHistories jobs) {
        this.cloud = cloud;
        this.settings = settings;
        this.jobs = jobs;
    }

    /** Whether the job allows a machine type, and a task fits an empty machine of it. */
    static boolean allowsType(JsonNode job, SimCloud.Type type) {
        boolean typeAllowed = !job.hasNonNull("frames");
        for (JsonNode name : job.path("frames")) {
            typeAllowed |= name.asText().equals(type.name());
        }
        return typeAllowed
                && job.path("vcpus").asDouble() <= type.cpus()
                && job.path("cards").asDouble() <= type.gpus()
                && job.path("memGb").asDouble() <= type.memoryGb();
    }

    /**
     * Why a task of the job must not be on a machine; null if it may. The task may be there
     * already.
     */
    String placementViolation(SimWorker machine, JsonNode job) {
        if (!allowsType(job, SimCloud.TYPES.get(machine.type()))) {
            return "type not allowed";
        }
        if (job.hasNonNull("yard") && !job.path("yard").asText().equals(machine.zone())) {
            return "zone not allowed";
        }
        if (machine.spot() && !job.path("loaner").asBoolean()) {
            return "spot not allowed";
        }
        if (job.path("samePlace").asBoolean() && tasksOutside(machine.zone(), job) > 0) {
            return "not in the zone of the job's other tasks";
        }
        int mostInOneZone = (job.path("sacks").asInt() + 1) / 2;
        if (job.path("apart").asBoolean() && tasksIn(machine.zone(), job) > mostInOneZone) {
            return "too many tasks of the job in the zone";
        }
        return null;
    }

    private int tasksIn(String zone, JsonNode job) {
        return cloud.machines().values().stream()
                .filter(machine -> machine.zone().equals(zone))
                .mapToInt(machine -> tasksOn(machine, job))
                .sum();
    }

    private int tasksOutside(String zone, JsonNode job) {
        return cloud.machines().values().stream()
                .filter(machine -> !machine.zone().equals(zone))
                .mapToInt(machine -> tasksOn(machine, job))
                .sum();
    }

    private static int tasksOn(SimWorker machine, JsonNode job) {
        String prefix = job.path("nameId").asText() + '/';
        return (int)
                machine.tasks().stream()
                        .filter(task -> task.onMachine() && task.id.startsWith(prefix))
                        .count();
    }

    /** Whether one more task fits within its team's limit and on a machine that its job allows. */
    boolean hasCapacity(JobHistory job, TeamUsage used) {
        JsonNode spec = job.job();
        boolean withinLimit =
                settings.team(job.team())
                        .withinLimit(
                                used.cpus() + spec.path("vcpus").asDouble(),
                                used.gpus() + spec.path("cards").asDouble());
        return withinLimit
                && cloud.machines().values().stream()
                        .anyMatch(
                                machine ->
                                        machine.isHealthy()
                                                && placementViolation(machine, spec) == null
                                                && hasCapacity(machine, spec));
    }

    private boolean hasCapacity(SimWorker machine, JsonNode job) {
        SimCloud.Type type = SimCloud.TYPES.get(machine.type());
        double cpus = type.cpus() - job.path("vcpus").asDouble();
        double gpus = type.gpus() - job.path("cards").asDouble();
        double memoryGb = type.memoryGb() - job.path("memGb").asDouble();
        for (SimTask task : machine.tasks()) {
            JobHistory other = jobs.ofTask(task.id);
            if (!task.over() && other != null) {
                cpus -= other.job().path("vcpus").asDouble();
                gpus -= other.job().path("cards").asDouble();
                memoryGb -= other.job().path("memGb").asDouble();
            }
        }
        return cpus >= -ROUNDING_ERROR && gpus >= -ROUNDING_ERROR && memoryGb >= -ROUNDING_ERROR;
    }
}
