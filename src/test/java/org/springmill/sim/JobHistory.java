package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** The requests of one job's user and the answers of all controllers. */
final class JobHistory {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final JsonNode job;
    private double acceptedAt = NEVER;
    private double finalAt = NEVER;
    private String finalPhase;
    private boolean cancelRequested;
    private double lastAnswerAt = Double.NEGATIVE_INFINITY;
    private double waitingSince = NEVER;

    JobHistory(JsonNode job) {
        this.job = job;
    }

    JsonNode job() {
        return job;
    }

    String id() {
        return job.path("nameId").asText();
    }

    String team() {
        return job.path("crew").asText();
    }

    int taskCount() {
        return job.path("sacks").asInt();
    }

    String taskId(int task) {
        return id() + '/' + task;
    }

    /** The jobs that must be done before this one starts. */
    List<String> dependencies() {
        List<String> ids = new ArrayList<>();
        job.path("waitsOn").forEach(id -> ids.add(id.asText()));
        return ids;
    }

    /** Whether the user has been answered that the job is accepted. */
    boolean accepted() {
        return acceptedAt != NEVER;
    }

    boolean acceptedBy(double time) {
        return acceptedAt <= time;
    }

    void accept(double time) {
        acceptedAt = time;
    }

    void requestCancellation() {
        cancelRequested = true;
    }

    boolean cancelRequested() {
        return cancelRequested;
    }

    /** Whether the user has been answered that the job is done or cancelled. */
    boolean over() {
        return finalPhase != null;
    }

    String finalPhase() {
        return finalPhase;
    }

    /** Whether the user had been answered by {@code time} that the job is done or cancelled. */
    boolean overBy(double time) {
        return over() && finalAt <= time;
    }

    boolean cancelledBy(double time) {
        return "cancelled".equals(finalPhase) && finalAt <= time;
    }

    void end(String phase, double time) {
        finalPhase = phase;
        finalAt = time;
    }

    double lastAnswerAt() {
        return lastAnswerAt;
    }

    void answered(double time) {
        lastAnswerAt = time;
    }

    /** Since when the job has waited although there is capacity for it; infinite if it has not. */
    double waitingSince() {
        return waitingSince;
    }

    void waiting(double now) {
        waitingSince = Math.min(waitingSince, now);
    }

    void notWaiting() {
        waitingSince = NEVER;
    }
}
