package org.springmill.protocol;

/** One task of a job; written {@code job/index}. */
public record TaskId(String job, int index) {

    static TaskId parse(String text) throws BadMessageException {
        int slash = text.lastIndexOf('/');
        try {
            return new TaskId(
                    text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new BadMessageException("task id " + text);
        }
    }

    @Override
    public String toString() {
        return job + '/' + index;
    }
}
