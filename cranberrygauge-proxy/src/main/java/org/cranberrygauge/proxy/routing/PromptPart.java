package org.cranberrygauge.proxy.routing;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id The identifier of the part's content.
 * @param tokens The length of the part in tokens.
 */
public record PromptPart(String id, long tokens) {}
