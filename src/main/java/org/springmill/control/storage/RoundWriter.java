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
import org.springmill.control.storage.RoundLog.End;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.transport.EventLoop;

/**
 * Appends rounds, each in one transaction, and splits those that are too large for one.
 *
 * <p>A transaction without an answer is sent again, unchanged, until its fate is known: its key
 * must not exist, so only one copy is ever applied. The other copy may be carried out at any later
 * time of the term, so its key has to outlast the round's own content.
 */
final class RoundWriter {
    /** Log lines of the parts of the round log stand under its name. */
    private static final Logger LOG = LoggerFactory.getLogger(RoundLog.class);

    /** A transaction is repeated after the time in which so many writes are allowed. */
    private static final double RETRY_AFTER_WRITES = 2;

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Condition leadership;
    private final RoundIndex index;
    private final RoundCompactor compactor;
    private boolean closed;

    RoundWriter(
            KeyValueStoreClient store,
            EventLoop loop,
            Condition leadership,
            RoundIndex index,
            RoundCompactor compactor) {
        this.store = store;
        this.loop = loop;
        this.leadership = leadership;
        this.index = index;
        this.compactor = compactor;
    }

    void close() {
        closed = true;
    }

    boolean closed() {
        return closed;
    }

    /** See {@link RoundLog#append}. */
    void append(
            List<Claim> claims,
            List<End> ends,
            List<Write> attached,
            Runnable onCommitted,
            Runnable onLeadershipLost) {
        long number = index.lastNumber() + 1;
        new Transaction(claims, ends, attached, number, onCommitted, onLeadershipLost).send();
    }

    private double retryDelaySeconds() {
        return RETRY_AFTER_WRITES / store.limits().writesPerSecond();
    }

    /** One transaction until its fate is known. */
    private final class Transaction {
        private final List<Claim> claims;
        private final List<End> ends;

        /** Changes of other records; those of a round that is split go with its first half. */
        private final List<Write> attached;

        private final long number;
        private final Runnable onCommitted;
        private final Runnable onLeadershipLost;
        private final RoundEncoder encoder;
        private final List<StoredRound> replaced;
        private final List<Condition> conditions = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        /**
         * A larger transaction of the same number that went unanswered, and so may be the one that
         * was applied; or null.
         */
        private Transaction unansweredLarger;

        private boolean unanswered;

        Transaction(
                List<Claim> claims,
                List<End> ends,
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
            replaced.forEach(old -> writes.add(removalOf(old)));
            writes.addAll(attached);
            conditions.add(leadership);
            conditions.add(new Condition(firstKey(), 0));
        }

        private Map<String, BitSet> completedTasks() {
            Map<String, BitSet> completed = new LinkedHashMap<>();
            for (End end : ends) {
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

        /**
         * A copy of the value's transaction that is applied only now would find a deleted key
         * absent, and restore claims whose ends are gone. So the key is kept with an empty value,
         * which refuses that copy; in the next term the copy fails by itself, and the key can go.
         */
        private Write removalOf(StoredRound old) {
            return old.mayBeAppliedAgain()
                    ? Write.put(old.key(), RoundCodec.emptyValue())
                    : Write.delete(old.key());
        }

        private String firstKey() {
            return encoder.first().stored().key();
        }

        private boolean divisible() {
            return claims.size() + ends.size() > 1;
        }

        void send() {
            if (closed) {
                return;
            }
            if (writes.size() > store.limits().writesPerCommit() && divisible()) {
                // A gang larger than a round: its members are claimed together, but not in one
                // transaction.
                split();
                return;
            }
            store.compareAndSwap(conditions, writes, this::answered);
        }

        private void answered(CommitResult result) {
            if (closed) {
                return;
            }
            switch (result.outcome()) {
                case COMMITTED -> applied();
                case REJECTED -> refused(result);
                case TOO_LARGE -> split();
                // The same transaction again. It cannot be applied twice.
                case RETRYABLE, UNKNOWN -> {
                    unanswered |= result.outcome() == CommitOutcome.UNKNOWN;
                    loop.after(retryDelaySeconds(), this::send);
                }
            }
        }

        private void refused(CommitResult result) {
            boolean malformed = result.failed().isEmpty();
            boolean leadershipEnded = result.failed().contains(leadership.key());
            boolean keyExists = result.failed().contains(firstKey());
            if (malformed && divisible()) {
                // Something in it is not taken, whatever it is: the rest must not wait for that,
                // nor the term end with it.
                LOG.warn(
                        "round {} is refused by the state service and goes in two halves",
                        firstKey());
                split();
            } else if (leadershipEnded) {
                onLeadershipLost.run();
            } else if (!keyExists) {
                LOG.error("round {} is refused by the state service", firstKey());
                onLeadershipLost.run();
            } else if (unansweredLarger == null) {
                // The key exists and the leadership held: only this leader writes rounds, so an
                // earlier copy was applied.
                applied();
            } else {
                readBack();
            }
        }

        /** One of several transactions of this number was applied: the stored value tells which. */
        private void readBack() {
            store.get(firstKey(), this::readBackAnswered);
        }

        private void readBackAnswered(ReadResult read) {
            if (closed) {
                return;
            }
            if (read.entry() == null) {
                loop.after(retryDelaySeconds(), this::send);
                return;
            }
            for (Transaction sent = this; sent != null; sent = sent.unansweredLarger) {
                if (sent.wrote(read.entry().value())) {
                    sent.unanswered |= unanswered;
                    sent.applied();
                    return;
                }
            }
            LOG.error("round {} holds what was never sent", firstKey());
            onLeadershipLost.run();
        }

        private boolean wrote(JsonNode storedValue) {
            List<String> stored = RoundCodec.claimKeys(storedValue);
            return stored.equals(RoundCodec.claimKeys(encoder.first().json()));
        }

        /**
         * The service takes less than its settings said. The round goes in two halves, the second
         * under the next number but with its claims' own; smaller limits are kept to from now on,
         * so the last halves are as small as can be.
         */
        private void split() {
            Transaction smaller = divisible() ? firstHalf() : reencoded();
            smaller.unansweredLarger = unanswered ? this : unansweredLarger;
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

        /** The same content under the limits of now, and with what is carried now. */
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

        private void applied() {
            index.setLastNumber(number);
            for (Transaction sent = this; sent != null; sent = sent.unansweredLarger) {
                if (sent.unanswered) {
                    encoder.first().stored().setMayBeAppliedAgain();
                }
            }
            encoder.values().forEach(value -> index.add(value.stored(), value.claims()));
            index.removeAll(replaced);
            encoder.releaseCarriedCompleted();
            ends.forEach(end -> index.removeClaim(end.claim().key()));
            onCommitted.run();
        }
    }
}
