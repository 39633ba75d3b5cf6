package org.cranberrygauge.proxy.routing;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id The identifier of its content.
 * @param tokens Its length in tokens.
 */
public record PromptPart(String id, long tokens) {}
