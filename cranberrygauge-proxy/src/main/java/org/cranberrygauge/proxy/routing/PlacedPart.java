package org.cranberrygauge.proxy.routing;

/**
 * A prompt part that a host has sent to an engine, which therefore caches it.
 *
 * @param incarnation The incarnation of the engine.
 */
public record PlacedPart(String incarnation, PromptPart part) {}
