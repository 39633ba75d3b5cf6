package org.cranberrygauge.decision.routing;

/**
 * What routing needs to know of a request.
 *
 * @param target The model or service.
 * @param prefixDigest The digest of the prompt's first part, by which cached prefixes are recognised.
 * @param promptTokens The number of prompt tokens.
 */
public record RoutingRequest(String target, String prefixDigest, int promptTokens) {}
