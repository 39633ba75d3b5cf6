package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * One run of the matrix.
 *
 * @param protocol The protocol.
 * @param injections The faults with their steps.
 * @param seed The seed of message times.
 */
record Cell(Protocol protocol, List<FaultInjection> injections, long seed) {

    /** Copies the list. */
    Cell {
        injections = List.copyOf(injections);
    }

    /**
     * Returns every fault at every step of every protocol, before and after the step, and each protocol without a fault.
     *
     * @return The cells.
     */
    static List<Cell> singles() {
        List<Cell> cells = new ArrayList<>();
        for (Protocol protocol : Protocol.values()) {
            cells.add(new Cell(protocol, List.of(), 0));
            for (FaultInjection injection : injections(protocol)) {
                cells.add(new Cell(protocol, List.of(injection), 0));
            }
        }
        return cells;
    }

    /**
     * Returns pairs of faults, drawn by seed.
     *
     * @param seeds The number of pairs for each protocol.
     * @return The cells.
     */
    static List<Cell> pairs(int seeds) {
        List<Cell> cells = new ArrayList<>();
        for (Protocol protocol : Protocol.values()) {
            List<FaultInjection> all = injections(protocol);
            for (int seed = 1; seed <= seeds; seed++) {
                Random random = new Random(seed);
                FaultInjection first = all.get(random.nextInt(all.size()));
                FaultInjection second = all.get(random.nextInt(all.size()));
                cells.add(new Cell(protocol, List.of(first, second), seed));
            }
        }
        return cells;
    }

    /**
     * Runs the cell.
     *
     * @param off The mechanisms that are off.
     * @return What it showed.
     */
    CellResult run(Set<Mechanism> off) {
        SimulationContext world = new SimulationContext(injections, off, seed);
        Scenario scenario = protocol.scenario();
        List<Finding> findings = scenario.run(world);
        return new CellResult(
                this,
                scenario,
                findings,
                world.notReached() == 0,
                world.timeline().trace());
    }

    /**
     * Returns every fault at every step of a protocol.
     *
     * @param protocol The protocol.
     * @return The injections.
     */
    private static List<FaultInjection> injections(Protocol protocol) {
        List<FaultInjection> injections = new ArrayList<>();
        for (Step step : protocol.scenario().steps()) {
            for (Fault fault : Fault.values()) {
                injections.add(new FaultInjection(fault, step, false));
                injections.add(new FaultInjection(fault, step, true));
            }
        }
        return injections;
    }

    @Override
    public String toString() {
        return protocol + " " + injections + " seed " + seed;
    }
}
