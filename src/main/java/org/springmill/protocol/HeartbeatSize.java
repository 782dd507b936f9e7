package org.springmill.protocol;

/**
 * Upper bounds of the bytes that tasks take in a worker's heartbeat. A heartbeat above {@link
 * MessageLimits#MAX_BYTES} is refused, so that the worker's lease ends with all its tasks; nobody
 * but the leader, which chooses what a machine gets, can prevent that.
 */
public final class HeartbeatSize {
    /**
     * Bytes of a heartbeat beside its tasks: field names and numbers take less than a quarter, the
     * rest is left to the names of machine, address, type and zone.
     */
    private static final int ENVELOPE_BYTES = 1024;

    /** Bytes that are available to the tasks of one machine. */
    public static final int MAX_TASK_BYTES = MessageLimits.MAX_BYTES - ENVELOPE_BYTES;

    /** A task without its id, in its longest form: ended, with the largest attempt number. */
    private static final int STATUS_BYTES_WITHOUT_ID =
            "{\"sack\":\"\",\"try\":18446744073709551615,\"phase\":\"ended\",\"cause\":\"stopped\",\"stored\":false},"
                    .length();

    private static final int DECIMAL_BASE = 10;

    private HeartbeatSize() {}

    /** Bytes that any one task of a job may take, from its start until it is forgotten. */
    public static int maxBytes(Submission job) {
        int lastTask = job.tasks() - 1;
        return STATUS_BYTES_WITHOUT_ID + job.id().length() + 1 + decimalDigits(lastTask);
    }

    /** Bytes that a task may take, from its start until it is forgotten. */
    public static int maxBytes(TaskId task) {
        return STATUS_BYTES_WITHOUT_ID + task.job().length() + 1 + decimalDigits(task.index());
    }

    private static int decimalDigits(int number) {
        int digits = 1;
        for (int rest = number / DECIMAL_BASE; rest > 0; rest /= DECIMAL_BASE) {
            digits++;
        }
        return digits;
    }
}
