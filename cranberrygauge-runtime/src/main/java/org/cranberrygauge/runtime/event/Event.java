package org.cranberrygauge.runtime.event;

/**
 * One thing that happened; implementations are records whose components become the pairs of the line.
 *
 * <p>The name of an event is the name of its type in snake case.
 */
public interface Event {}
