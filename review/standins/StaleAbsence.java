import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/** The router that gives orders is killed twice; another one is frozen while the second takes over and is killed. */
final class StaleAbsence {
    /** The bound lease_ms of the site files. */
    private static final long LEASE_MILLIS = 3_000;
    /** The bound thaw_slack_ms of the site files. */
    private static final long THAW_SLACK_MILLIS = 300;
    /** The longest freeze of a machine in the standard site files is 4 s. */
    private static final long MAX_FREEZE_MILLIS = 4_000;

    private static final long RESTART_MILLIS = 1_000;
    /** A machine without power is dark for 3.5 s in the standard site files. */
    private static final long DARK_MILLIS = 3_500;
    private static final int REPLICAS = 2;

    private StaleAbsence() {}

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("review");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        Map<String, Router> routers = new TreeMap<>();
        try (Record record = new Record(Path.of(args[0]))) {
            Store store = new Store(record);
            store.put("op/config", Documents.config(3, 4_194_304));
            store.put("op/version/" + Replica.MODEL, Documents.weights(1));
            List<Replica> replicas = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                replicas.add(new Replica("i-" + i, "lm", true, 64, 50, store, record));
            }
            for (int i = 1; i <= 3; i++) {
                Router router = new Router("front-" + i, "127.0.0.1" + i, store.address(), folder);
                router.start();
                routers.put(router.node, router);
            }
            for (Router router : routers.values()) {
                router.awaitReady();
            }
            Thread.sleep(6_000);

            name(2, store, record);
            String first = holderOf(2, replicas);
            Thread.sleep(200);
            if (trouble) {
                kill(routers.get(first), RESTART_MILLIS, record);
            }
            Thread.sleep(2_300);
            Router frozen = routers.values().stream()
                    .filter(r -> !r.node.equals(first))
                    .reduce((a, b) -> b)
                    .orElseThrow();
            long frozenAt = record.millis();
            if (trouble) {
                record.line("%s is frozen", frozen.node);
                frozen.signal("STOP");
            }
            Thread.sleep(100);
            name(3, store, record);
            String second = holderOf(3, replicas);
            Thread.sleep(100);
            if (trouble) {
                kill(routers.get(second), DARK_MILLIS, record);
            }
            Thread.sleep(1_150);
            long thawedAt = record.millis();
            if (trouble) {
                frozen.signal("CONT");
                record.line("%s is thawed after %d ms", frozen.node, thawedAt - frozenAt);
                if (thawedAt - frozenAt > MAX_FREEZE_MILLIS) {
                    throw new Unusable("the freeze took " + (thawedAt - frozenAt) + " ms");
                }
            }
            Thread.sleep(400);
            name(4, store, record);
            holderOf(4, replicas);
            exit = judge(replicas, trouble ? frozen.node : "", thawedAt, record);
        } catch (Unusable e) {
            System.out.println("the case could not run: " + e.getMessage());
        } finally {
            for (Router router : routers.values()) {
                router.end();
            }
            Cases.delete(folder);
        }
        System.exit(exit);
    }

    private static void name(long version, Store store, Record record) {
        record.line("version %d is named", version);
        store.put("op/version/" + Replica.MODEL, Documents.weights(version));
    }

    /** Waits until all replicas have accepted a version, and returns who ordered it last. */
    private static String holderOf(long version, List<Replica> replicas) throws InterruptedException {
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
    private static void kill(Router router, long downMillis, Record record) {
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

    private static int judge(List<Replica> replicas, String frozen, long thawedAt, Record record) {
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
