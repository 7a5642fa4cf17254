import java.util.List;
import java.util.function.BooleanSupplier;

/** The orders that replicas got, and what leads to them. */
final class Orders {
    /** The bound lease_ms of the site files. */
    static final long LEASE_MILLIS = 3_000;
    /** The bound thaw_slack_ms of the site files. */
    static final long THAW_SLACK_MILLIS = 300;
    /** A process that is killed starts again after a short delay. */
    static final long RESTART_MILLIS = 1_000;
    /** A machine without power is dark for 3.5 s in the standard site files. */
    static final long DARK_MILLIS = 3_500;

    private Orders() {}

    static void name(long version, Store store, Record record) {
        record.line("version %d is named", version);
        store.put("op/version/" + Replica.MODEL, Documents.weights(version));
    }

    /** Waits until all replicas have accepted a version, and returns who ordered it last. */
    static String holderOf(long version, List<Replica> replicas) throws InterruptedException {
        BooleanSupplier done = () -> replicas.stream().allMatch(r -> accepted(r, version));
        long end = System.nanoTime() + 12_000_000_000L;
        while (!done.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new Unusable("version " + version + " was not ordered everywhere");
            }
            Thread.sleep(5);
        }
        return replicas.stream()
                .flatMap(r -> r.orders.stream())
                .filter(o -> o.version() == version)
                .reduce((a, b) -> a.atMillis() > b.atMillis() ? a : b)
                .orElseThrow()
                .holder();
    }

    private static boolean accepted(Replica replica, long version) {
        return replica.orders.stream().anyMatch(o -> o.version() == version && o.status() == 202);
    }

    /** Kills a process, which starts again after a short delay. */
    static void kill(Router router, long downMillis, Record record) {
        record.line("%s is killed", router.node);
        router.kill();
        Thread restart = new Thread(() -> {
            try {
                Thread.sleep(downMillis);
                router.start();
                record.line("%s starts again", router.node);
            } catch (Exception e) {
                record.line("%s does not start: %s", router.node, e.getMessage());
            }
        });
        restart.setDaemon(true);
        restart.start();
    }

    static int judge(List<Replica> replicas, String frozen, long thawedAt, Record record) {
        int broken = 0;
        for (Replica replica : replicas) {
            List<Replica.Order> counted = replica.orders.stream()
                    .filter(o -> !(o.holder().equals(frozen)
                            && o.atMillis() >= thawedAt
                            && o.atMillis() - thawedAt <= THAW_SLACK_MILLIS))
                    .toList();
            for (int i = 1; i < counted.size(); i++) {
                Replica.Order before = counted.get(i - 1);
                Replica.Order after = counted.get(i);
                long gap = after.atMillis() - before.atMillis();
                if (!before.holder().equals(after.holder()) && gap < LEASE_MILLIS) {
                    broken++;
                    String line = String.format(
                            "replica %s: order of %s %d ms after one of %s (lease_ms %d)",
                            replica.id, after.holder(), gap, before.holder(), LEASE_MILLIS);
                    record.line("%s", line);
                    System.out.println(line);
                }
            }
        }
        String summary = broken + " turns of two holders within lease_ms";
        record.line("%s", summary);
        System.out.println(summary);
        return broken > 0 ? 1 : 0;
    }
}
