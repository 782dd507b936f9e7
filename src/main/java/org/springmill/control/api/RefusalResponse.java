package org.springmill.control.api;

import org.springmill.control.admission.AdmissionRefusal;
import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.transport.HttpHandler.Call;

/** The answer to a submission that can never run, or cannot be accepted now. */
@FunctionalInterface
interface RefusalResponse {
    /** Answers a submission that was certainly not accepted before. */
    void respond(Call call);

    /** Answers while it is not certain that the job was not accepted before. */
    default void respondUncertain(Call call) {
        JobStatusResponses.respondUnavailable(call, JobStatusResponses.STORE_UNAVAILABLE);
    }

    /** For a job that can never run. */
    static RefusalResponse impossible(String reason) {
        return call -> JobStatusResponses.respondImpossible(call, reason);
    }

    /**
     * For a job that cannot be accepted now. In an overload more lookups would be needed than are
     * allowed; when their users were told to retry after a second only, they came back as a wave.
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
