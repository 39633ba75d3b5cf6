package org.cranberrygauge.verification.capacity;

/**
 * A measured point.
 *
 * @param x The size that was varied.
 * @param y The measured value.
 */
public record Sample(double x, double y) {}
