package org.cranberrygauge.proxy.routing;

/**
 * A prompt part that a host has sent to an engine, which caches it.
 *
 * @param incarnation The incarnation of the engine.
 * @param part The part.
 */
public record PlacedPart(String incarnation, PromptPart part) {}
