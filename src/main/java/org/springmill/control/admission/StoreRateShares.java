package org.springmill.control.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.transport.EventLoop;

/**
 * This controller's share of the changes that the key-value store takes. The leader writes the
 * rounds of all and so has the largest share; it lends what it does not need to controllers that
 * accept many submissions, for a short time each. The shares of all controllers never add up to
 * more than one (docs/admission.md, claims A.1 and A.2).
 */
public final class StoreRateShares implements KeyValueStoreClient.RateShare {
    /** Of the leader's share, what it may lend at most. */
    static final double MAX_LENT_RATIO = 0.5;

    /** What a lender adds to its own need before it lends, as a factor. */
    private static final double NEED_MARGIN = 1.25;

    /**
     * Over this time the use of the key-value store is averaged, as a ratio to a loan's validity.
     */
    private static final double AVERAGING_TO_VALIDITY = 1.5;

    private final EventLoop loop;
    private final LongSupplier validTerm;
    private final double leaderShare;
    private final double otherShare;
    private final double maxLent;
    private final double validitySeconds;
    private final double lenderValiditySeconds;
    private final double writesPerSecond;
    private final RateMeter writeRate;
    private final Map<String, Deque<Loan>> loans = new HashMap<>();
    private long ledTerm;
    private double leaderSince = Double.NEGATIVE_INFINITY;
    private Loan borrowed = Loan.NONE;
    private long latestLoanQuestion;
    private int queuedWrites;

    private record Loan(double share, double until) {
        static final Loan NONE = new Loan(0, Double.NEGATIVE_INFINITY);

        double at(double now) {
            return now < until ? share : 0;
        }
    }

    /**
     * @param validTerm the term that this controller leads under a lease that is valid by its own
     *     clock; 0 if there is none
     * @param leaderShare share of whoever leads
     * @param controllers how many there are; those that do not lead share the rest evenly
     * @param validitySeconds how long a loan counts, from the question on that it answers
     * @param clockDrift factor by which the clocks of two controllers may differ
     * @param changesPerSecond what the key-value store takes from all controllers together
     */
    public StoreRateShares(
            EventLoop loop,
            LongSupplier validTerm,
            double leaderShare,
            int controllers,
            double validitySeconds,
            double clockDrift,
            double changesPerSecond) {
        this.loop = loop;
        this.validTerm = validTerm;
        this.leaderShare = controllers == 1 ? 1 : leaderShare;
        maxLent = controllers == 1 ? 0 : leaderShare * MAX_LENT_RATIO;
        this.otherShare = otherShare(leaderShare, controllers);
        this.validitySeconds = validitySeconds;
        this.lenderValiditySeconds = validitySeconds * clockDrift;
        this.writesPerSecond = changesPerSecond;
        writeRate = new RateMeter(validitySeconds * AVERAGING_TO_VALIDITY, loop.now());
    }

    /**
     * Without a leader all have this share, beside what the last leader may have lent; so it is at
     * most what a leader keeps.
     */
    private static double otherShare(double leaderShare, int controllers) {
        double rest = (1 - leaderShare) / Math.max(1, controllers - 1);
        return Math.min(rest, leaderShare * (1 - MAX_LENT_RATIO));
    }

    @Override
    public double current() {
        double now = loop.now();
        if (isLeading(now)) {
            return leaderShare - lent(now);
        }
        return otherShare + borrowed.at(now);
    }

    @Override
    public void sent(int changes) {
        writeRate.add(changes, loop.now());
    }

    @Override
    public void queued(int changes) {
        queuedWrites = changes;
    }

    /** What this controller needs beyond the share that it has for good; 0 for a leader. */
    public double wanted() {
        double now = loop.now();
        if (isLeading(now)) {
            return 0;
        }
        return Math.max(0, Math.min(maxLent, need(now) - otherShare));
    }

    /**
     * Lends a part of the leader's share with the answer to a controller's question.
     *
     * @param wanted what it asks for
     * @return the share that it may use in addition, from its question on; 0 if this controller
     *     does not lead
     */
    public double lend(String borrower, double wanted) {
        double now = loop.now();
        if (!isLeading(now)) {
            return 0;
        }
        double lentToOthers = lent(now) - outstanding(borrower, now);
        double spare = leaderShare - Math.max(need(now) * NEED_MARGIN, leaderShare - maxLent);
        double share = Math.max(0, Math.min(wanted, spare - lentToOthers));
        if (share > 0) {
            loans.computeIfAbsent(borrower, name -> new ArrayDeque<>())
                    .add(new Loan(share, now + lenderValiditySeconds));
        }
        return share;
    }

    /** What a borrower may be using: the largest of its loans that have not ended. */
    private double outstanding(String borrower, double now) {
        Deque<Loan> ofBorrower = loans.getOrDefault(borrower, new ArrayDeque<>());
        while (!ofBorrower.isEmpty() && ofBorrower.peek().until() <= now) {
            ofBorrower.poll();
        }
        return ofBorrower.stream().mapToDouble(Loan::share).max().orElse(0);
    }

    /**
     * Takes what the leader lends.
     *
     * @param question number of the question that the loan answers; an earlier one is ignored
     * @param askedAt when that question was asked
     */
    public void borrow(long question, double askedAt, double share) {
        if (question > latestLoanQuestion) {
            latestLoanQuestion = question;
            borrowed = new Loan(share, askedAt + validitySeconds);
        }
    }

    private double need(double now) {
        return (writeRate.perSecond(now) + queuedWrites) / writesPerSecond;
    }

    private double lent(double now) {
        if (now - leaderSince < lenderValiditySeconds) {
            // What an earlier leader has lent may be in use until it ends.
            return maxLent;
        }
        double sum = 0;
        for (String borrower : loans.keySet()) {
            sum += outstanding(borrower, now);
        }
        return sum;
    }

    private boolean isLeading(double now) {
        long term = validTerm.getAsLong();
        if (term != 0 && term != ledTerm) {
            ledTerm = term;
            leaderSince = now;
            loans.clear();
            borrowed = Loan.NONE;
        }
        return term != 0;
    }
}
