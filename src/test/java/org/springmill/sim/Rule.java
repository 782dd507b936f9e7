package org.springmill.sim;

import java.util.Locale;

/** What must not happen: the rules of the protocol and of its chained jobs, and two more. */
enum Rule {
    /** A task starts on one machine while it is on another. */
    RAN_TWICE,
    /** The tasks of a team use more than the team's limit. */
    QUOTA,
    /** A task starts on a type, in a zone or on a kind of machine that its job does not allow. */
    WRONG_PLACE,
    /** A task of a cancelled job is on a machine, or starts, after the cancellation deadline. */
    RAN_CANCELLED,
    /** An accepted job is unknown, refused when it is submitted again, or gets no answers. */
    FORGOTTEN,
    /** A job that nobody submitted is reported or runs. */
    INVENTED,
    /** A job is called done before all its tasks are. */
    NOT_DONE,
    /** A job changes after it was called done or cancelled, or nobody cancelled it. */
    WENT_BACK,
    /** A task starts before all jobs that its job waits for are done. */
    TOO_EARLY,
    /** A job is not called cancelled in time after one that it waits for was. */
    ORPHANED,
    /** A job that can never run is accepted. */
    ACCEPTED,
    /** After all failures a job waits too long while there is capacity for it. */
    WAITS;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
