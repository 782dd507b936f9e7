package org.springmill.protocol;

/**
 * One task of a job; written {@code job/index}.
 *
 * @param job id of the job
 * @param index number of the task in its job, from 0
 */
public record TaskId(String job, int index) {

    /**
     * Parses the form that {@link #toString} returns.
     *
     * @throws MalformedMessageException if the text has another form
     */
    public static TaskId parse(String text) throws MalformedMessageException {
        int slash = text.lastIndexOf('/');
        try {
            String job = text.substring(0, slash);
            int index = Integer.parseInt(text.substring(slash + 1));
            return new TaskId(job, index);
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new MalformedMessageException("task id " + text);
        }
    }

    // Replace the generated methods, which go through method handles: the leader of a large fleet
    // looks up every task of every heartbeat and spent much of its time in them.

    @Override
    public boolean equals(Object other) {
        return other instanceof TaskId that && index == that.index && job.equals(that.job);
    }

    @Override
    public int hashCode() {
        return 31 * job.hashCode() + index;
    }

    @Override
    public String toString() {
        return job + '/' + index;
    }
}
