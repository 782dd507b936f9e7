package org.springmill.sim;

import java.util.Locale;

/**
 * Violations that the checkers report. All but {@link #ACCEPTED} and {@link #WAITS} are violations
 * of the protocol and its rules for dependent jobs.
 */
enum Rule {
    /** A task starts on one machine while it is on another. */
    RAN_TWICE,
    /** The tasks of a team use more than the team's limit. */
    QUOTA,
    /**
     * A task starts on a machine whose type or zone its job does not allow, or that is a spot
     * machine although its job does not allow that.
     */
    WRONG_PLACE,
    /** A task of a cancelled job is on a machine, or starts, after the cancellation deadline. */
    RAN_CANCELLED,
    /** An accepted job is unknown, refused when it is submitted again, or gets no answers. */
    FORGOTTEN,
    /** A job that nobody submitted is reported or runs. */
    INVENTED,
    /** A job is reported as done before all its tasks are. */
    NOT_DONE,
    /**
     * A job is reported in another phase after it was done or cancelled, or as cancelled although
     * nobody cancelled it.
     */
    WENT_BACK,
    /** A task starts before all jobs that its job depends on are done. */
    TOO_EARLY,
    /** A job is not reported as cancelled in time after one that it depends on was. */
    ORPHANED,
    /** A job that can never run is accepted. */
    ACCEPTED,
    /** A job waits too long although there is capacity for it, after all failures have ended. */
    WAITS;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
