package org.springmill.protocol;

/**
 * One task of a job; written {@code job/index}.
 *
 * @param job id of the job
 * @param index number of the task in its job, from 0
 */
public record TaskId(String job, int index) {

    /** Reads the form that {@link #toString} writes. */
    public static TaskId parse(String text) throws BadMessageException {
        int slash = text.lastIndexOf('/');
        try {
            String job = text.substring(0, slash);
            int index = Integer.parseInt(text.substring(slash + 1));
            return new TaskId(job, index);
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new BadMessageException("task id " + text);
        }
    }

    @Override
    public String toString() {
        return job + '/' + index;
    }
}
