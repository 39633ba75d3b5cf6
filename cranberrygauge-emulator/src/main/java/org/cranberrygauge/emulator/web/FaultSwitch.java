package org.cranberrygauge.emulator.web;

/**
 * A request to switch a fault.
 *
 * @param amount The strength; 0 switches the fault off.
 */
public record FaultSwitch(String name, double amount) {}
