package org.hornbeamhead.core.route;

/**
 * A store of cached prompts beside the engines.
 *
 * @param name its name
 * @param address the IP address and port
 * @param dataCentre where it stands
 * @param capacityTokens the tokens that it keeps
 * @param linkMbps the speed of its one link, in megabits a second
 */
public record PromptStore(String name, String address, String dataCentre, long capacityTokens, double linkMbps) {}
