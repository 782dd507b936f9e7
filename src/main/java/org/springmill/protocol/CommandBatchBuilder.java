package org.springmill.protocol;

import java.util.ArrayList;
import java.util.List;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Stop;

/**
 * Collects commands to one worker, as many as fit into one request or into one line of a response.
 * Those that do not fit are left to the next message.
 */
public final class CommandBatchBuilder {
    /** Fencing token, epoch and the brackets around the commands. */
    private static final int ENVELOPE_BYTES = 128;

    private static final int BYTES_WITHOUT_ID =
            "{\"verb\":\"start\",\"sack\":\"\",\"try\":18446744073709551615},".length();

    /** A grace period in its longest form. */
    private static final int GRACE_BYTES = ",\"windDownS\":-1.2345678901234567E-300".length();

    private final List<Command> commands = new ArrayList<>();
    private int freeBytes = MessageLimits.MAX_BYTES - ENVELOPE_BYTES;

    /**
     * Adds a command if it fits.
     *
     * @return whether it was added
     */
    public boolean add(Command command) {
        int bytes = maxBytes(command);
        if (bytes > freeBytes) {
            return false;
        }
        freeBytes -= bytes;
        commands.add(command);
        return true;
    }

    private static int maxBytes(Command command) {
        int graceBytes = command instanceof Stop ? GRACE_BYTES : 0;
        return BYTES_WITHOUT_ID + command.task().toString().length() + graceBytes;
    }

    /** The commands that were added, in their order. */
    public List<Command> build() {
        return List.copyOf(commands);
    }
}
