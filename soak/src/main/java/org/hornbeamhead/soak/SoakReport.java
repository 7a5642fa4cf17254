package org.hornbeamhead.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.soak.fault.FaultPlan;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Answered;
import org.hornbeamhead.soak.promise.Breach;
import org.hornbeamhead.soak.promise.ResumeShares;

/**
 * What a run showed.
 *
 * @param settings its size and seed
 * @param plan its faults
 * @param requests the requests that callers sent
 * @param byStatus how they ended, by status; 0 without an answer, and by 1,000 more when an answer was cut
 * @param streams the streams of callers that resume them
 * @param breaches the promises that were not kept, the first one first
 */
record SoakReport(
        SoakSettings settings,
        FaultPlan plan,
        int requests,
        Map<Integer, Long> byStatus,
        ResumeShares streams,
        List<Breach> breaches) {
    private static final int CUT = 1_000;
    private static final int SHOWN_BREACHES = 10;

    static SoakReport of(SoakSettings settings, FaultPlan plan, History history, List<Breach> breaches) {
        Map<Integer, Long> byStatus = history.answered().stream()
                .collect(Collectors.groupingBy(SoakReport::ending, TreeMap::new, Collectors.counting()));
        return new SoakReport(settings, plan, history.asked().size(), byStatus, ResumeShares.of(history), breaches);
    }

    private static int ending(Answered a) {
        return a.status() > 0 && !a.whole() ? a.status() + CUT : a.status();
    }

    String json() {
        ObjectNode tree = Json.object();
        tree.put("seed", settings.seed()).put("seconds", settings.seconds()).put("routers", settings.routers());
        tree.put("replicas", settings.replicas()).put("callers", settings.callers());
        tree.put("crashing", settings.crashing());
        tree.put("requests", requests);
        byStatus.forEach((status, count) -> tree.withObject("/endings").put(Integer.toString(status), count));
        ArrayNode faults = tree.putArray("faults");
        plan.faults().forEach(f -> faults.addObject()
                .put("at", f.at())
                .put("kind", f.kind().name())
                .put("index", f.index())
                .put("lasting", f.lasting()));
        ArrayNode list = tree.putArray("breaches");
        breaches.forEach(b -> list.addObject()
                .put("promise", b.promise())
                .put("what", b.what())
                .put("at", b.at()));
        return Json.write(tree);
    }

    String page() {
        StringBuilder page = new StringBuilder();
        page.append("seed ").append(settings.seed()).append(": ");
        page.append(breaches.isEmpty() ? "all promises kept" : breaches.size() + " breaches")
                .append('\n');
        page.append("  ")
                .append(requests)
                .append(" requests; endings ")
                .append(byStatus)
                .append('\n');
        page.append("  ").append(streams).append('\n');
        plan.faults()
                .forEach(f -> page.append(
                        String.format("  %6d ms  %s %d for %d ms%n", f.at(), f.kind(), f.index(), f.lasting())));
        breaches.stream()
                .limit(SHOWN_BREACHES)
                .forEach(b -> page.append(String.format("  BROKEN at %d ms: %s: %s%n", b.at(), b.promise(), b.what())));
        return page.toString();
    }
}
