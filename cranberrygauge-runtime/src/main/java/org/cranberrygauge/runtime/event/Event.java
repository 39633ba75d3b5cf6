package org.cranberrygauge.runtime.event;

/**
 * An event; implementations are records whose components become the key=value pairs of a line.
 *
 * <p>The name of an event is the name of its type in snake case.
 */
public interface Event {}
