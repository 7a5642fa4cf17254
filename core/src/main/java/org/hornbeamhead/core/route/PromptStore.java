package org.hornbeamhead.core.route;

/**
 * A store of cached prompts beside the engines.
 *
 * @param name its name
 * @param address the IP address and port
 * @param dataCentre where it stands
 * @param capacityTokens the tokens that it keeps
 */
public record PromptStore(String name, String address, String dataCentre, long capacityTokens) {}
