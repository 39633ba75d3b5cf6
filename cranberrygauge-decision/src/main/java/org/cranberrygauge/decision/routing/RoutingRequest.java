package org.cranberrygauge.decision.routing;

/**
 * The properties of a request that routing depends on.
 *
 * @param target The model or service.
 * @param prefixDigest The digest of the first part of the prompt, used to find servers that have it cached.
 */
public record RoutingRequest(String target, String prefixDigest, int promptTokens) {}
