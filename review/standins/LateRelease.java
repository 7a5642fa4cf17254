import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The router that gives orders is killed twice, and the store carries out one write late without an answer. */
final class LateRelease {
    /** Late writes are carried out 1 to 6 s later. */
    private static final long LATE_MILLIS = 3_350;
    /** The site's store loses up to 0.35 of the answers to writes. */
    private static final double MAX_LOST_SHARE = 0.35;

    private static final int REPLICAS = 2;

    private LateRelease() {}

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

            Orders.name(2, store, record);
            String first = Orders.holderOf(2, replicas);
            Thread.sleep(200);
            if (trouble) {
                Orders.kill(routers.get(first), Orders.RESTART_MILLIS, record);
                store.loseOneWrite(LATE_MILLIS);
                awaitLoss(store);
            } else {
                Thread.sleep(5_000);
            }
            long lostAt = record.millis();
            Thread.sleep(900);
            Orders.name(3, store, record);
            String second = Orders.holderOf(3, replicas);
            Thread.sleep(600);
            if (trouble) {
                Orders.kill(routers.get(second), Orders.DARK_MILLIS, record);
            }
            Thread.sleep(Math.max(0, lostAt + LATE_MILLIS + 100 - record.millis()));
            Orders.name(4, store, record);
            Orders.holderOf(4, replicas);
            int writes = store.writesSinceLoss();
            record.line("the routers made %d writing calls, one was lost", writes);
            if (trouble && 1.0 / writes > MAX_LOST_SHARE) {
                throw new Unusable("one of " + writes + " writes was lost, more than the share of the site");
            }
            exit = Orders.judge(replicas, "", 0, record);
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

    private static void awaitLoss(Store store) throws InterruptedException {
        long end = System.nanoTime() + 10_000_000_000L;
        while (!store.hasLost()) {
            if (System.nanoTime() > end) {
                throw new Unusable("no conditional write for an absent key came");
            }
            Thread.sleep(5);
        }
    }
}
