package org.hornbeamhead.bench;

/**
 * What membership came to at one size.
 *
 * @param nodes the size
 * @param bytesPerSecond bytes a node sends a second, with the headers of IP and UDP
 * @param messagesPerSecond datagrams a node sends a second
 * @param cpuPercent processor time of a node as a share of one core, codec included, sockets not
 * @param deadKnownMillis until all know that one in a hundred died at once
 * @param configMillis until a new configuration is in force everywhere
 * @param configBytes bytes a node spends on fetching one change
 */
record GossipResult(
        int nodes,
        double bytesPerSecond,
        double messagesPerSecond,
        double cpuPercent,
        long deadKnownMillis,
        long configMillis,
        double configBytes) {
    static final String HEAD =
            "| nodes | bytes/s per node | datagrams/s per node | % of a core | 1% dead known to all, ms | "
                    + "configuration everywhere, ms | bytes per change and node |\n|---|---|---|---|---|---|---|";

    String render() {
        return String.format(
                "| %d | %.0f | %.2f | %.4f | %d | %d | %.0f |",
                nodes, bytesPerSecond, messagesPerSecond, cpuPercent, deadKnownMillis, configMillis, configBytes);
    }
}
