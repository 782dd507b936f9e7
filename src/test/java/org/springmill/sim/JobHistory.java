package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** What the user of one job has asked for and was answered, by any controller. */
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

    /** The jobs that have to be done first. */
    List<String> dependencies() {
        List<String> ids = new ArrayList<>();
        job.path("waitsOn").forEach(id -> ids.add(id.asText()));
        return ids;
    }

    /** Whether the user got the answer at any time that the job is accepted. */
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

    /** Whether its user got the answer that it is done or cancelled. */
    boolean over() {
        return finalPhase != null;
    }

    String finalPhase() {
        return finalPhase;
    }

    /** Whether its user had the answer by then that it is done or cancelled. */
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

    /** Since when it has waited although there was capacity for it. */
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
