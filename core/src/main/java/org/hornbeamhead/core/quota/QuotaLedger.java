package org.hornbeamhead.core.quota;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * One router's accounts of the customers that have a quota. Each router tells the others the totals of what it has
 * admitted and evaluates the sum, so that all together admit what one token bucket per customer would, except for what
 * they cannot know of one another yet.
 *
 * <p>Answers the load of a customer that sends many times its quota: what is beyond the quota is refused before it
 * takes the engines from other customers. What all routers admit above the quota is at most what arrives between two
 * hints; routers out of contact admit their share and at most one request more each.
 *
 * <p>Not thread-safe.
 */
public final class QuotaLedger {
    /** Accounts and totals that were not used for this long are dropped; the buckets are full again by then. */
    private static final long RETENTION_MILLIS = 120_000;
    /** Use within this time is told again, so that one lost datagram does not hide it. */
    private static final long RECENT_USE_MILLIS = 10_000;
    /** The share is computed at most this often, since it takes the lists of all routers. */
    private static final long SHARE_INTERVAL_MILLIS = 50;

    private static final double MILLIS_PER_SECOND = 1_000;
    /** The constants of the 64-bit FNV-1a hash. */
    private static final long HASH_SEED = 0xcbf29ce484222325L;

    private static final long HASH_PRIME = 0x100000001b3L;

    private final long life;
    private final QuotaContacts contacts;
    private final Supplier<QuotaContacts.Fleet> fleet;
    private final Map<Long, QuotaAccount> accounts = new HashMap<>();
    private final Map<String, PeerTotals> peers = new HashMap<>();
    /** Customers whose use changed since it was last told, the longest waiting first. */
    private final Set<Long> untold = new LinkedHashSet<>();

    private int sequence;
    private double share;
    private long shareComputedMillis = Long.MIN_VALUE / 2;

    /**
     * What one run of another router has told of a customer.
     *
     * @param use the use
     * @param informed whether that router knew the bucket
     * @param atMillis when it was told
     */
    private record ToldUse(QuotaHint.Use use, boolean informed, long atMillis) {}

    /** What one run of another router has told. */
    private static final class PeerTotals {
        private final long life;
        private final Map<Long, ToldUse> uses = new HashMap<>();
        private int sequence;
        private long heardMillis;
        private long contactSinceMillis;

        PeerTotals(long life) {
            this.life = life;
        }

        void recordHeard(long nowMillis) {
            if (nowMillis - heardMillis >= QuotaContacts.CONTACT_MILLIS) {
                contactSinceMillis = nowMillis;
            }
            heardMillis = nowMillis;
        }
    }

    /**
     * Creates a ledger without any accounts.
     *
     * @param life a random number that identifies this run of the router
     * @param contacts the routers that are in contact
     * @param fleet supplies what this router knows of the fleet
     */
    public QuotaLedger(long life, QuotaContacts contacts, Supplier<QuotaContacts.Fleet> fleet) {
        this.life = life;
        this.contacts = contacts;
        this.fleet = fleet;
    }

    /**
     * Decides whether a request is within its customer's quota, and subtracts it if it is.
     *
     * @param customer the customer's name
     * @param limit the customer's quota
     * @param cost what the request counts
     * @param nowMillis the monotonic time
     * @return the decision
     */
    public QuotaDecision admit(String customer, QuotaLimit limit, long cost, long nowMillis) {
        contacts.recordRunning(nowMillis);
        long key = hash(customer);
        double currentShare = share(nowMillis);
        QuotaAccount account = accounts.computeIfAbsent(key, k -> open(k, limit, currentShare, nowMillis));
        QuotaDecision decision = decide(key, account, limit, cost, nowMillis);
        if (decision.admitted()) {
            account.admit(cost, nowMillis);
            untold.add(key);
        }
        return decision;
    }

    /**
     * Returns what {@link #admit} would decide, and counts and books nothing.
     *
     * @param customer the customer's name
     * @param limit the customer's quota
     * @param cost what the request counts
     * @param nowMillis the monotonic time
     * @return the decision
     */
    public QuotaDecision peek(String customer, QuotaLimit limit, long cost, long nowMillis) {
        long key = hash(customer);
        QuotaAccount account =
                accounts.containsKey(key) ? accounts.get(key).copy() : open(key, limit, share(nowMillis), nowMillis);
        return decide(key, account, limit, cost, nowMillis);
    }

    private QuotaDecision decide(long customer, QuotaAccount account, QuotaLimit limit, long cost, long nowMillis) {
        double currentShare = share(nowMillis);
        account.update(limit, currentShare, contacts.isInformed(nowMillis), nowMillis);
        double level = account.level();
        boolean admitted = account.covers(cost);
        long millis = admitted
                ? 0
                : Math.max(1, (long) Math.ceil(account.bookReturnMillis(cost, ownPart(customer, account), nowMillis)));
        return new QuotaDecision(admitted, cost, level, currentShare, contacts.oldestHintMillis(nowMillis), millis);
    }

    /**
     * Takes back the cost of a request that was admitted and that no replica has run.
     *
     * @param customer the customer's name
     * @param cost what the request counted
     */
    public void giveBack(String customer, long cost) {
        QuotaAccount account = accounts.get(hash(customer));
        if (account != null) {
            account.giveBack(cost);
            untold.add(hash(customer));
        }
    }

    /** Returns the part of the customer's admitted requests that came to this router. */
    private double ownPart(long customer, QuotaAccount account) {
        double own = 1.0 + account.admittedUnits();
        long others = toldUses(customer).mapToLong(t -> t.use().admittedUnits()).sum();
        return own / (own + others);
    }

    /**
     * Returns the part of each limit over all routers that this router and those in contact with it may use.
     *
     * @param nowMillis the monotonic time
     * @return the part, above 0 and at most 1
     */
    public double share(long nowMillis) {
        if (nowMillis - shareComputedMillis >= SHARE_INTERVAL_MILLIS) {
            share = contacts.share(fleet.get(), nowMillis);
            shareComputedMillis = nowMillis;
        }
        return share;
    }

    /** Opens an account with what other routers have told of the bucket, or with a full one if none has. */
    private QuotaAccount open(long customer, QuotaLimit limit, double currentShare, long nowMillis) {
        QuotaAccount account = new QuotaAccount(limit, currentShare, !contacts.isInformed(nowMillis), nowMillis);
        toldUses(customer)
                .filter(ToldUse::informed)
                .mapToDouble(t ->
                        t.use().missingUnits() - (nowMillis - t.atMillis()) / MILLIS_PER_SECOND * limit.ratePerSecond())
                .max()
                .ifPresent(account::adoptMissing);
        toldUses(customer)
                .filter(t -> !t.informed())
                .forEach(t -> account.recordPeerUse(limitToBurst(t.use().admittedUnits(), account), nowMillis));
        return account;
    }

    private Stream<ToldUse> toldUses(long customer) {
        return peers.values().stream().map(p -> p.uses.get(customer)).filter(Objects::nonNull);
    }

    private static double limitToBurst(long units, QuotaAccount account) {
        return Math.min((double) units, account.burst());
    }

    /**
     * Processes a hint from another router. Hints that are older than the last one of the same run are ignored.
     *
     * @param peer the address of the other router
     * @param hint the hint
     * @param nowMillis the monotonic time
     */
    public void merge(String peer, QuotaHint hint, long nowMillis) {
        contacts.recordRunning(nowMillis);
        if (hint.life() == life) {
            return;
        }
        PeerTotals known = peers.get(peer);
        PeerTotals totals = known != null && known.life == hint.life() ? known : new PeerTotals(hint.life());
        if (totals == known && hint.sequence() - totals.sequence <= 0) {
            return;
        }
        peers.put(peer, totals);
        totals.sequence = hint.sequence();
        totals.recordHeard(nowMillis);
        contacts.recordHint(peer, hint, nowMillis);
        hint.uses().forEach(u -> mergeUse(totals, u, hint.informed(), nowMillis));
        peers.values().removeIf(p -> nowMillis - p.heardMillis > RETENTION_MILLIS);
    }

    private void mergeUse(PeerTotals totals, QuotaHint.Use use, boolean informed, long nowMillis) {
        ToldUse before = totals.uses.put(use.customer(), new ToldUse(use, informed, nowMillis));
        QuotaAccount account = accounts.get(use.customer());
        if (account == null) {
            return;
        }
        account.update(share(nowMillis), contacts.isInformed(nowMillis), nowMillis);
        if (before != null) {
            double units = (double) use.admittedUnits() - before.use().admittedUnits();
            boolean outOfContact = before.atMillis() < totals.contactSinceMillis;
            account.recordPeerUse(outOfContact ? account.payFromSetAside(units) : units, nowMillis);
        } else if (informed) {
            account.adoptMissing(use.missingUnits());
        } else {
            account.recordPeerUse(limitToBurst(use.admittedUnits(), account), nowMillis);
        }
    }

    /**
     * Returns whether there is use that was not told yet. Must be called regularly, also without requests.
     *
     * @param nowMillis the monotonic time
     * @return true if {@link #takeChanges} would return any use
     */
    public boolean hasChanges(long nowMillis) {
        contacts.recordRunning(nowMillis);
        return !untold.isEmpty();
    }

    /**
     * Returns the use that changed since it was last told, as far as it fits into one hint.
     *
     * @param nowMillis the monotonic time
     * @return the next hint to routers with callers
     */
    public QuotaHint takeChanges(long nowMillis) {
        List<Long> told = untold.stream().limit(QuotaHint.MAX_USES).toList();
        told.forEach(untold::remove);
        return hint(told, false, nowMillis);
    }

    /**
     * Returns recent use, whether it was told or not. If it does not fit into one hint, calls in sequence return
     * different parts.
     *
     * @param idle whether this router has no callers
     * @param nowMillis the monotonic time
     * @return the next hint to all routers
     */
    public QuotaHint summary(boolean idle, long nowMillis) {
        accounts.values().removeIf(a -> nowMillis - a.lastUseMillis() > RETENTION_MILLIS);
        List<Long> recent = accounts.entrySet().stream()
                .filter(e -> nowMillis - e.getValue().lastUseMillis() < RECENT_USE_MILLIS)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        int parts = Math.max(1, (recent.size() + QuotaHint.MAX_USES - 1) / QuotaHint.MAX_USES);
        List<Long> part = recent.stream()
                .skip((long) Math.floorMod(sequence, parts) * QuotaHint.MAX_USES)
                .limit(QuotaHint.MAX_USES)
                .toList();
        return hint(part, idle, nowMillis);
    }

    private QuotaHint hint(List<Long> customers, boolean idle, long nowMillis) {
        double currentShare = share(nowMillis);
        List<QuotaHint.Use> uses = customers.stream()
                .filter(accounts::containsKey)
                .map(c -> use(c, accounts.get(c), currentShare, nowMillis))
                .toList();
        sequence++;
        return new QuotaHint(life, sequence, contacts.isInformed(nowMillis), idle, uses);
    }

    private QuotaHint.Use use(long customer, QuotaAccount account, double currentShare, long nowMillis) {
        account.update(currentShare, contacts.isInformed(nowMillis), nowMillis);
        return new QuotaHint.Use(customer, account.admittedUnits(), (float) account.missingUnits());
    }

    private static long hash(String customer) {
        return customer.chars().asLongStream().reduce(HASH_SEED, (h, c) -> (h ^ c) * HASH_PRIME);
    }
}
