package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.KeyValueStoreClient.CommitOutcome;
import org.springmill.control.storage.KeyValueStoreClient.CommitResult;
import org.springmill.control.storage.KeyValueStoreClient.ReadResult;
import org.springmill.control.storage.RoundLog.ClaimEnd;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.transport.EventLoop;

/**
 * Appends rounds, each in one transaction, and splits those that are too large for one.
 *
 * <p>A transaction without a response is resent unchanged until its outcome is known. Copies of any
 * transaction, answered or not, may reach the store at any later time of the term, so each is
 * applied at most once by its conditions: the round's key does not exist, and the newest value
 * before it, its predecessor, has the version that it had when the round was written. Compaction
 * removes values from the oldest on. So while the predecessor is unchanged the round's key exists,
 * and once the predecessor is removed its version never returns. The first round of an empty log
 * has a record of its own as predecessor, which it changes itself.
 */
final class RoundWriter {
    /** All parts of the round log use its name for logging. */
    private static final Logger LOG = LoggerFactory.getLogger(RoundLog.class);

    /** A retry waits as long as the rate limit needs to allow this number of writes. */
    private static final double RETRY_AFTER_WRITES = 2;

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Condition termCondition;
    private final RoundIndex index;
    private final RoundCompactor compactor;
    private boolean isClosed;

    RoundWriter(
            KeyValueStoreClient store,
            EventLoop loop,
            Condition termCondition,
            RoundIndex index,
            RoundCompactor compactor) {
        this.store = store;
        this.loop = loop;
        this.termCondition = termCondition;
        this.index = index;
        this.compactor = compactor;
    }

    void close() {
        isClosed = true;
    }

    boolean isClosed() {
        return isClosed;
    }

    /** See {@link RoundLog#append}. */
    void append(
            List<Claim> claims,
            List<ClaimEnd> ends,
            List<Write> attached,
            Runnable onCommitted,
            Runnable onLeadershipLost) {
        long number = index.lastNumber() + 1;
        new Transaction(claims, ends, attached, number, onCommitted, onLeadershipLost).send();
    }

    private double retryDelaySeconds() {
        return RETRY_AFTER_WRITES / store.limits().writesPerSecond();
    }

    /** The transaction of one round, until its outcome is known. */
    private final class Transaction {
        private final List<Claim> claims;
        private final List<ClaimEnd> ends;

        /** Writes of other records; if the round is split, they go with the first half. */
        private final List<Write> attached;

        private final long number;
        private final Runnable onCommitted;
        private final Runnable onLeadershipLost;
        private final RoundEncoder encoder;
        private final List<StoredRound> replaced;
        private final List<Condition> conditions = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        /**
         * A larger transaction of the same number without a response, which may be the one that was
         * applied; or null.
         */
        private Transaction largerWithUnknownOutcome;

        private boolean isOutcomeUnknown;

        Transaction(
                List<Claim> claims,
                List<ClaimEnd> ends,
                List<Write> attached,
                long number,
                Runnable onCommitted,
                Runnable onLeadershipLost) {
            this.claims = claims;
            this.ends = ends;
            this.attached = attached;
            this.number = number;
            this.onCommitted = onCommitted;
            this.onLeadershipLost = onLeadershipLost;
            encoder = new RoundEncoder(number, store.limits().valueBytes());
            claims.forEach(encoder::addClaim);
            ends.forEach(end -> encoder.addEnd(end.claim().key()));
            completedTasks().forEach(encoder::addCompleted);
            replaced = compactor.compact(encoder, endingKeys(), attached.size());
            encoder.values()
                    .forEach(value -> writes.add(Write.put(value.stored().key(), value.json())));
            replaced.forEach(old -> writes.add(Write.delete(old.key())));
            if (index.size() == 0) {
                writes.add(Write.put(RoundCodec.LOG_START_KEY, RoundCodec.emptyValue()));
            }
            writes.addAll(attached);
            conditions.add(termCondition);
            conditions.add(new Condition(firstKey(), 0));
            conditions.add(index.predecessor());
        }

        private Map<String, BitSet> completedTasks() {
            Map<String, BitSet> completed = new LinkedHashMap<>();
            for (ClaimEnd end : ends) {
                if (end.done()) {
                    completed
                            .computeIfAbsent(end.claim().task().job(), j -> new BitSet())
                            .set(end.claim().task().index());
                }
            }
            return completed;
        }

        private Set<String> endingKeys() {
            Set<String> ending = new HashSet<>();
            ends.forEach(end -> ending.add(end.claim().key()));
            return ending;
        }

        private String firstKey() {
            return encoder.first().stored().key();
        }

        private boolean isDivisible() {
            return claims.size() + ends.size() > 1;
        }

        void send() {
            if (isClosed) {
                return;
            }
            if (writes.size() > store.limits().writesPerCommit() && isDivisible()) {
                // A gang larger than a round: its members are claimed together, but not in one
                // transaction.
                split();
                return;
            }
            store.compareAndSwap(conditions, writes, this::responseReceived);
        }

        private void responseReceived(CommitResult result) {
            if (isClosed) {
                return;
            }
            switch (result.outcome()) {
                case COMMITTED -> committed(result.revision());
                case REJECTED -> rejected(result);
                case TOO_LARGE -> split();
                // The request is idempotent.
                case RETRYABLE, UNKNOWN -> {
                    isOutcomeUnknown |= result.outcome() == CommitOutcome.UNKNOWN;
                    loop.after(retryDelaySeconds(), this::send);
                }
            }
        }

        private void rejected(CommitResult result) {
            boolean malformed = result.failed().isEmpty();
            boolean leadershipEnded = result.failed().contains(termCondition.key());
            boolean keyExists = result.failed().contains(firstKey());
            if (malformed && isDivisible()) {
                // The store never accepts some part of the round. That part must neither delay
                // the others nor end the term.
                LOG.warn("round {} rejected by the key-value store: split into halves", firstKey());
                split();
            } else if (leadershipEnded) {
                onLeadershipLost.run();
            } else if (!keyExists) {
                LOG.error("round {} rejected by the key-value store: term ends", firstKey());
                onLeadershipLost.run();
            } else {
                // Only this leader writes rounds, so an earlier transaction of this number was
                // applied.
                readBack();
            }
        }

        /**
         * Reads the stored value, which shows which transaction of this number was applied, and at
         * which revision.
         */
        private void readBack() {
            store.get(firstKey(), this::readBackReceived);
        }

        private void readBackReceived(ReadResult read) {
            if (isClosed) {
                return;
            }
            if (read.entry() == null) {
                loop.after(retryDelaySeconds(), this::send);
                return;
            }
            for (Transaction sent = this; sent != null; sent = sent.largerWithUnknownOutcome) {
                if (sent.wrote(read.entry().value())) {
                    sent.committed(read.entry().version());
                    return;
                }
            }
            LOG.error("round {} has content that this leader never sent: term ends", firstKey());
            onLeadershipLost.run();
        }

        private boolean wrote(JsonNode storedValue) {
            List<String> stored = RoundCodec.claimKeys(storedValue);
            return stored.equals(RoundCodec.claimKeys(encoder.first().json()));
        }

        /**
         * Sends the round as two halves. The second gets the next number, while its claims keep the
         * number of the round that decided them. If the round cannot be divided, it is encoded
         * again under the current limits, which were lowered.
         */
        private void split() {
            Transaction smaller = isDivisible() ? firstHalf() : reencoded();
            smaller.largerWithUnknownOutcome = isOutcomeUnknown ? this : largerWithUnknownOutcome;
            smaller.send();
        }

        private Transaction firstHalf() {
            int claimCount = (claims.size() + 1) / 2;
            int endCount = ends.size() / 2;
            return new Transaction(
                    claims.subList(0, claimCount),
                    ends.subList(0, endCount),
                    attached,
                    number,
                    () -> appendRest(claimCount, endCount),
                    onLeadershipLost);
        }

        /** The same content, encoded under the current limits and with new compaction. */
        private Transaction reencoded() {
            return new Transaction(claims, ends, attached, number, onCommitted, onLeadershipLost);
        }

        private void appendRest(int claimsFrom, int endsFrom) {
            append(
                    claims.subList(claimsFrom, claims.size()),
                    ends.subList(endsFrom, ends.size()),
                    List.of(),
                    onCommitted,
                    onLeadershipLost);
        }

        private void committed(long revision) {
            index.setLastNumber(number);
            encoder.values().forEach(value -> addToIndex(value, revision));
            index.removeAll(replaced);
            encoder.releaseCarriedCompleted();
            ends.forEach(end -> index.removeClaim(end.claim().key()));
            onCommitted.run();
        }

        private void addToIndex(RoundEncoder.EncodedValue value, long revision) {
            value.stored().setVersion(revision);
            index.add(value.stored(), value.claims());
        }
    }
}
