package org.springmill.control.storage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.KeyValueStoreClient.CommitOutcome;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Settings.StoreLimits;
import org.springmill.transport.HttpClient.Reply;

/**
 * Converts responses to transactions into results, and lowers the size limits when the key-value
 * store accepts less than the configured limits.
 */
final class CommitResponses {
    /** All parts of the client log under the client's name. */
    private static final Logger LOG = LoggerFactory.getLogger(KeyValueStoreClient.class);

    private StoreLimits limits;

    /** Starts with the configured limits. */
    CommitResponses(StoreLimits configured) {
        limits = configured;
    }

    /** The current size limits of records and transactions. */
    StoreLimits limits() {
        return limits;
    }

    /**
     * The result of a transaction.
     *
     * @param writes the writes of the transaction
     * @param encodedUnder the limits in force when the transaction was encoded
     */
    CommitResult interpret(Reply reply, List<Write> writes, StoreLimits encodedUnder) {
        try {
            return switch (reply.status()) {
                case 200 -> committed(reply);
                case 409 -> conditionFailed(reply);
                case 400 -> refused(reply, writes, encodedUnder);
                case 429, 503, -1 -> withoutRevision(CommitOutcome.RETRYABLE);
                default -> withoutRevision(CommitOutcome.UNKNOWN);
            };
        } catch (MalformedMessageException e) {
            LOG.warn(
                    "malformed response of the key-value store to a transaction: {}; its outcome is"
                            + " unknown",
                    e.getMessage());
            return withoutRevision(CommitOutcome.UNKNOWN);
        }
    }

    private static CommitResult committed(Reply reply) throws MalformedMessageException {
        long revision = KeyValueStoreMessages.decodeRevision(reply.body());
        return new CommitResult(CommitOutcome.COMMITTED, revision, List.of());
    }

    private static CommitResult conditionFailed(Reply reply) throws MalformedMessageException {
        List<String> failedKeys = KeyValueStoreMessages.decodeFailedKeys(reply.body());
        return new CommitResult(CommitOutcome.REJECTED, 0, failedKeys);
    }

    private CommitResult refused(Reply reply, List<Write> writes, StoreLimits encodedUnder)
            throws MalformedMessageException {
        LOG.debug(
                "key-value store rejected a transaction with status 400: {}",
                new String(reply.body(), StandardCharsets.UTF_8));
        boolean leaseEnded = KeyValueStoreMessages.isLeaseExpired(reply.body());
        boolean tooLarge = !leaseEnded && mayBeTooLarge(writes, encodedUnder);
        return withoutRevision(tooLarge ? CommitOutcome.TOO_LARGE : CommitOutcome.REJECTED);
    }

    private static CommitResult withoutRevision(CommitOutcome outcome) {
        return new CommitResult(outcome, 0, List.of());
    }

    /**
     * Whether a refused transaction may have been too large rather than malformed: that is so if it
     * exceeds half of the limits under which it was encoded. The limits are then halved, so that
     * the number of retries is bounded.
     */
    private boolean mayBeTooLarge(List<Write> writes, StoreLimits encodedUnder) {
        StoreLimits halved = encodedUnder.halved();
        boolean valuesFit = largestValueBytes(writes) <= halved.valueBytes();
        if (valuesFit && writes.size() <= halved.writesPerCommit()) {
            return false;
        }
        if (limits.equals(encodedUnder)) {
            limits = halved;
            LOG.warn(
                    "key-value store takes less than its settings say: limits lowered to {} writes"
                            + " of {} bytes",
                    halved.writesPerCommit(),
                    halved.valueBytes());
        }
        return true;
    }

    private static int largestValueBytes(List<Write> writes) {
        int largest = 0;
        for (Write write : writes) {
            int bytes = write.value() == null ? 0 : Json.bytes(write.value()).length;
            largest = Math.max(largest, bytes);
        }
        return largest;
    }
}
