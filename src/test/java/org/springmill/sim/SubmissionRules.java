package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.springmill.protocol.Settings;

/** Finds submissions that must not be accepted because their jobs can never run. */
public final class SubmissionRules {
    /** Fields that must be present and not null in every submission. */
    public static final List<String> REQUIRED_FIELDS =
            List.of(
                    "nameId",
                    "grist",
                    "crew",
                    "shape",
                    "urgency",
                    "sacks",
                    "vcpus",
                    "cards",
                    "memGb",
                    "mould",
                    "pullGb",
                    "samePlace",
                    "apart",
                    "loaner",
                    "expectS",
                    "stashEveryS",
                    "stashS");

    private final Settings settings;

    SubmissionRules(Settings settings) {
        this.settings = settings;
    }

    /** Why a job must not be accepted; null if it may. */
    String rejectionReason(JsonNode job) {
        for (String field : REQUIRED_FIELDS) {
            if (!job.hasNonNull(field)) {
                return "no field " + field;
            }
        }
        Settings.Team team = settings.team(job.path("crew").asText());
        if (team == null) {
            return "unknown team";
        }
        int concurrentTasks =
                job.path("shape").asText().equals("sweep") ? 1 : job.path("sacks").asInt();
        if (!team.withinLimit(
                job.path("vcpus").asDouble() * concurrentTasks,
                job.path("cards").asDouble() * concurrentTasks)) {
            return "above the team's limit";
        }
        return isZoneKnown(job) && fitsSomeType(job)
                ? null
                : "unknown zone, or fits no machine type";
    }

    private boolean isZoneKnown(JsonNode job) {
        return !job.path("yard").isTextual()
                || settings.zones().contains(job.path("yard").asText());
    }

    private static boolean fitsSomeType(JsonNode job) {
        return SimCloud.TYPES.values().stream()
                .anyMatch(type -> PlacementRules.allowsType(job, type));
    }
}
