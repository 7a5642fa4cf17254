import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The router that gives orders is killed twice; another one is frozen while the second takes over and is killed. */
final class StaleAbsence {
    /** The longest freeze of a machine in the standard site files is 4 s. */
    private static final long MAX_FREEZE_MILLIS = 4_000;

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

            Orders.name(2, store, record);
            String first = Orders.holderOf(2, replicas);
            Thread.sleep(200);
            if (trouble) {
                Orders.kill(routers.get(first), Orders.RESTART_MILLIS, record);
            }
            Thread.sleep(3_300);
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
            Orders.name(3, store, record);
            String second = Orders.holderOf(3, replicas);
            Thread.sleep(100);
            if (trouble) {
                Orders.kill(routers.get(second), Orders.DARK_MILLIS, record);
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
            Orders.name(4, store, record);
            Orders.holderOf(4, replicas);
            exit = Orders.judge(replicas, trouble ? frozen.node : "", thawedAt, record);
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
}
