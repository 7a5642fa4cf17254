package org.hornbeamhead.standin.load;

import java.util.List;

/**
 * The shape of a load: prompts nested in levels, a few customers large, a few dossiers hot.
 *
 * @param name the name
 * @param model the model asked for
 * @param customers the customers' names, the largest first
 * @param classes the kinds of model request
 * @param houseTokens the length of a customer's instructions
 * @param dossierTokens the length of a dossier
 * @param dossiers how many dossiers each customer has at hand
 * @param shiftMillis how often the hot dossiers change
 * @param servicePool the plain service; empty for none
 * @param servicePath the call that must run at most once
 * @param serviceShare the share of all requests that go to the service
 */
public record Workload(
        String name,
        String model,
        List<String> customers,
        List<WorkClass> classes,
        int houseTokens,
        int dossierTokens,
        int dossiers,
        long shiftMillis,
        String servicePool,
        String servicePath,
        double serviceShare) {
    /** Copies the lists, so that the workload cannot change. */
    public Workload {
        customers = List.copyOf(customers);
        classes = List.copyOf(classes);
    }

    /** District housing offices: many short questions on case files, reviews overnight, priority letters. */
    public static final Workload BANGKOK = new Workload(
            "bangkok",
            "kheha-lm",
            List.of(
                    "district-dusit",
                    "district-bangrak",
                    "district-huaikhwang",
                    "district-phayathai",
                    "district-sathon",
                    "district-laksi",
                    "district-minburi",
                    "district-thungkhru"),
            List.of(
                    new WorkClass("counter", 0.6, 60, 24),
                    new WorkClass("summary", 0.3, 120, 48),
                    new WorkClass("review", 0.1, 200, 64)),
            1_500,
            3_000,
            24,
            10_000,
            "waitlist-app",
            "/letters",
            0.1);

    /** Auction houses: few long dossiers with short verdicts, drafts while cataloguers type, bids. */
    public static final Workload LISBON = new Workload(
            "lisbon",
            "peritos-lm",
            List.of(
                    "casa-alcobaca",
                    "casa-belem",
                    "casa-chiado",
                    "casa-douro",
                    "catalogo-web",
                    "peritos-lisboa",
                    "peritos-porto",
                    "sala-online"),
            List.of(
                    new WorkClass("verdict", 0.25, 80, 32),
                    new WorkClass("draft", 0.65, 60, 40),
                    new WorkClass("overnight", 0.1, 150, 64)),
            1_200,
            8_000,
            12,
            15_000,
            "sala-leiloes",
            "/bids",
            0.15);

    /**
     * Finds a workload.
     *
     * @param name its name
     * @return the workload
     * @throws IllegalArgumentException when there is none of that name
     */
    public static Workload named(String name) {
        return List.of(BANGKOK, LISBON).stream()
                .filter(w -> w.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException("unknown workload '" + name + "'; known: bangkok, lisbon"));
    }

    /**
     * Gives a customer's key, as the example configurations know it.
     *
     * @param customer the customer's name
     * @return the key
     */
    public static String key(String customer) {
        return "key-" + customer;
    }
}
