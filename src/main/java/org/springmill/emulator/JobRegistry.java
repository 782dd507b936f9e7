package org.springmill.emulator;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.springmill.protocol.Submission;

/** Descriptions of jobs as their users upload them, from where workers fetch them. */
final class JobRegistry {
    private final Map<String, EmulatedJob> jobs = new ConcurrentHashMap<>();

    /**
     * A job with what only its user knows.
     *
     * @param runS of each task; infinite for a service
     */
    record EmulatedJob(Submission spec, double runS) {}

    void upload(EmulatedJob job) {
        jobs.put(job.spec().id(), job);
    }

    /** Null if no such job was uploaded. */
    EmulatedJob find(String id) {
        return jobs.get(id);
    }
}
