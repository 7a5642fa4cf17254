package org.hornbeamhead.core.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Parts of limits that a router has lent to others and borrowed from them, each for a fixed time.
 *
 * <p>A borrower counts that time from the moment at which it asked and the lender from the moment at which it was
 * asked, so that a loan ends at the borrower first, whatever was lost or late between them.
 */
final class LimitLoans {
    /** The time for which a part is lent. Borrowers ask again several times before it ends. */
    static final long LOAN_MILLIS = 3_000;

    private final Map<String, Deque<Loan>> lent = new HashMap<>();
    private final Map<String, Loan> borrowed = new HashMap<>();
    private final Map<Integer, Long> askedAt = new HashMap<>();
    private int sequence;

    /**
     * A part that was lent.
     *
     * @param sequence the number of the question that it answers
     * @param share the part
     * @param endMillis the monotonic time at which it ends
     */
    private record Loan(int sequence, double share, long endMillis) {
        boolean isOpen(long nowMillis) {
            return nowMillis < endMillis;
        }
    }

    /**
     * Records that others are asked for loans.
     *
     * @param nowMillis the monotonic time
     * @return the number of the question
     */
    int ask(long nowMillis) {
        sequence++;
        askedAt.values().removeIf(at -> nowMillis >= at + LOAN_MILLIS);
        askedAt.put(sequence, nowMillis);
        return sequence;
    }

    /**
     * Records the answer of a lender. The latest question counts, whichever answer arrives last.
     *
     * @param lender its address
     * @param question the number of the question
     * @param share the part that it lends
     * @param nowMillis the monotonic time
     */
    void recordLoan(String lender, int question, double share, long nowMillis) {
        borrowed.values().removeIf(loan -> !loan.isOpen(nowMillis));
        Long at = askedAt.get(question);
        Loan before = borrowed.get(lender);
        if (at != null && (before == null || before.sequence() < question)) {
            borrowed.put(lender, new Loan(question, share, at + LOAN_MILLIS));
        }
    }

    /** Returns the sum of what is borrowed. */
    double borrowed(long nowMillis) {
        return borrowed.values().stream()
                .filter(loan -> loan.isOpen(nowMillis))
                .mapToDouble(Loan::share)
                .sum();
    }

    /**
     * Lends an equal part to each router that asked lately, as far as it is not lent to others.
     *
     * @param borrower the address of the router that asks
     * @param total what may be lent to all
     * @param nowMillis the monotonic time
     * @return the part, 0 or more
     */
    double lend(String borrower, double total, long nowMillis) {
        double others = lent(nowMillis) - highest(lent.getOrDefault(borrower, new ArrayDeque<>()));
        Deque<Loan> own = lent.computeIfAbsent(borrower, name -> new ArrayDeque<>());
        double share = Math.max(0, Math.min(total / lent.size(), total - others));
        own.addLast(new Loan(0, share, nowMillis + LOAN_MILLIS));
        return share;
    }

    /**
     * Returns the sum of what is lent. Of several loans to one router, which may know any of them, the largest counts.
     */
    double lent(long nowMillis) {
        removeEnded(nowMillis);
        return lent.values().stream().mapToDouble(LimitLoans::highest).sum();
    }

    private static double highest(Deque<Loan> loans) {
        return loans.stream().mapToDouble(Loan::share).max().orElse(0);
    }

    private void removeEnded(long nowMillis) {
        lent.values().removeIf(loans -> {
            loans.removeIf(loan -> !loan.isOpen(nowMillis));
            return loans.isEmpty();
        });
    }
}
