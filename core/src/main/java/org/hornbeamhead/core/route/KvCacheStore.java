package org.hornbeamhead.core.route;

/**
 * An external store of KV cache entries that the engines share.
 *
 * @param name the name of the store
 * @param address the IP address and port
 * @param dataCentre the data centre of the store
 * @param capacityTokens the capacity in tokens
 * @param linkMbps the bandwidth of its single link, in megabits per second
 */
public record KvCacheStore(String name, String address, String dataCentre, long capacityTokens, double linkMbps) {}
