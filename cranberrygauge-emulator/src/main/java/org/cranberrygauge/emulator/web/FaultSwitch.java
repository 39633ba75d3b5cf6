package org.cranberrygauge.emulator.web;

/**
 * A fault that is switched by HTTP.
 *
 * @param name The name of the fault.
 * @param amount The strength; 0 switches it off.
 */
public record FaultSwitch(String name, double amount) {}
