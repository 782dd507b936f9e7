package org.springmill.control.api;

import org.springmill.control.admission.AdmissionRefusal;
import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.transport.HttpHandler.Call;

/** The response to a submission that can never run, or cannot be accepted now. */
@FunctionalInterface
interface RefusalResponse {
    /** Responds to a submission that was certainly not accepted before. */
    void respond(Call call);

    /** Responds while it is uncertain whether the job was accepted before. */
    default void respondUncertain(Call call) {
        JobStatusResponses.respondUnavailable(call, JobStatusResponses.STORE_UNAVAILABLE);
    }

    /** For a job that can never run. */
    static RefusalResponse impossible(String reason) {
        return call -> JobStatusResponses.respondImpossible(call, reason);
    }

    /**
     * For a job that cannot be accepted now. It responds alike if it is uncertain whether the job
     * was accepted: an overload requires more lookups than are allowed, and when users without a
     * lookup were asked to retry after one second, their retries arrived together.
     */
    record Overload(AdmissionRefusal refusal) implements RefusalResponse {
        @Override
        public void respond(Call call) {
            JobStatusResponses.respondRefused(call, refusal);
        }

        @Override
        public void respondUncertain(Call call) {
            respond(call);
        }
    }
}
