package org.springmill.control.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.transport.EventLoop;

/**
 * This controller's share of the rate limits of the key-value store. The leader writes the rounds
 * and so has the largest share. It lends unused parts of it, for a short time each, to controllers
 * that accept many submissions. The shares of all controllers never add up to more than one
 * (docs/admission.md, claims A.1 and A.2).
 */
public final class StoreRateShares implements KeyValueStoreClient.RateShare {
    /** The most that the leader may lend, as a ratio to its share. */
    static final double MAX_LENT_RATIO = 0.5;

    /** Factor on the share that the leader needs itself; it lends only what exceeds that. */
    private static final double NEED_MARGIN = 1.25;

    /**
     * Time over which the writes of this controller are averaged, as a ratio to a loan's validity.
     */
    private static final double AVERAGING_TIME_RATIO = 1.5;

    private final EventLoop loop;
    private final LongSupplier validTerm;
    private final double leaderShare;
    private final double otherShare;
    private final double maxLent;
    private final double validitySeconds;
    private final double lenderValiditySeconds;
    private final double writesPerSecond;
    private final RateMeter writeRate;
    private final Map<String, Deque<Loan>> loansByBorrower = new HashMap<>();
    private long lastLedTerm;
    private double leaderSince = Double.NEGATIVE_INFINITY;
    private Loan borrowed = Loan.NONE;
    private long latestLoanRequest;
    private int queuedWrites;

    /** A lent share that is valid until a time of the event loop's clock. */
    private record Loan(double share, double until) {
        static final Loan NONE = new Loan(0, Double.NEGATIVE_INFINITY);

        double shareAt(double now) {
            return now < until ? share : 0;
        }
    }

    /**
     * Creates the shares of a controller without loans.
     *
     * @param validTerm the term that this controller leads under a lease that is valid by its own
     *     clock; 0 if there is none
     * @param leaderShare share of the leader
     * @param controllers number of controllers; followers share the rest evenly
     * @param validitySeconds how long a loan is valid, counted from the borrower's request
     * @param clockDrift factor by which the rates of two controllers' clocks may differ
     * @param writesPerSecond the rate limit of the key-value store for all controllers together
     */
    public StoreRateShares(
            EventLoop loop,
            LongSupplier validTerm,
            double leaderShare,
            int controllers,
            double validitySeconds,
            double clockDrift,
            double writesPerSecond) {
        this.loop = loop;
        this.validTerm = validTerm;
        this.leaderShare = controllers == 1 ? 1 : leaderShare;
        maxLent = controllers == 1 ? 0 : leaderShare * MAX_LENT_RATIO;
        this.otherShare = otherShare(leaderShare, controllers);
        this.validitySeconds = validitySeconds;
        this.lenderValiditySeconds = validitySeconds * clockDrift;
        this.writesPerSecond = writesPerSecond;
        writeRate = new RateMeter(validitySeconds * AVERAGING_TIME_RATIO, loop.now());
    }

    /**
     * The share of each follower. Without a leader, all controllers use this share, also the former
     * leader, while loans that it granted may still be in use. The sum then stays at most one,
     * since this share is limited to the part of the leader's share that is never lent.
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
        return otherShare + borrowed.shareAt(now);
    }

    @Override
    public void recordSent(int writes) {
        writeRate.add(writes, loop.now());
    }

    @Override
    public void recordQueued(int writes) {
        queuedWrites = writes;
    }

    /** The share that this controller needs beyond its own; 0 for the leader. */
    public double wantedLoan() {
        double now = loop.now();
        if (isLeading(now)) {
            return 0;
        }
        return Math.max(0, Math.min(maxLent, need(now) - otherShare));
    }

    /**
     * Lends a part of the leader's share with the response to another controller's request.
     *
     * @param wanted the share that the borrower requests
     * @return the share that the borrower may use in addition while the loan is valid; 0 if nothing
     *     can be lent or this controller is not the leader
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
            loansByBorrower
                    .computeIfAbsent(borrower, name -> new ArrayDeque<>())
                    .add(new Loan(share, now + lenderValiditySeconds));
        }
        return share;
    }

    /** The share that a borrower may be using: the largest of its loans that have not expired. */
    private double outstanding(String borrower, double now) {
        Deque<Loan> borrowerLoans = loansByBorrower.getOrDefault(borrower, new ArrayDeque<>());
        while (!borrowerLoans.isEmpty() && borrowerLoans.peek().until() <= now) {
            borrowerLoans.poll();
        }
        return borrowerLoans.stream().mapToDouble(Loan::share).max().orElse(0);
    }

    /**
     * Accepts a loan from the leader.
     *
     * @param requestNumber number of the request that the loan answers; loans for earlier requests
     *     are ignored
     * @param requestedAt when that request was sent, in seconds of the loop's clock
     */
    public void borrow(long requestNumber, double requestedAt, double share) {
        if (requestNumber > latestLoanRequest) {
            latestLoanRequest = requestNumber;
            borrowed = new Loan(share, requestedAt + validitySeconds);
        }
    }

    private double need(double now) {
        return (writeRate.perSecond(now) + queuedWrites) / writesPerSecond;
    }

    private double lent(double now) {
        if (now - leaderSince < lenderValiditySeconds) {
            // Loans of an earlier leader may be in use until they expire.
            return maxLent;
        }
        double sum = 0;
        for (String borrower : loansByBorrower.keySet()) {
            sum += outstanding(borrower, now);
        }
        return sum;
    }

    /** Whether this controller leads; drops the loans of earlier terms when a new one has begun. */
    private boolean isLeading(double now) {
        long term = validTerm.getAsLong();
        if (term != 0 && term != lastLedTerm) {
            lastLedTerm = term;
            leaderSince = now;
            loansByBorrower.clear();
            borrowed = Loan.NONE;
        }
        return term != 0;
    }
}
