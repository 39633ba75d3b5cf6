package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * One run of the matrix: a protocol, the faults injected into it and a seed.
 *
 * @param injections The faults with the steps at which they are injected.
 * @param seed The seed of message latencies.
 */
record Cell(Protocol protocol, List<FaultInjection> injections, long seed) {

    Cell {
        injections = List.copyOf(injections);
    }

    /** Returns a cell for each protocol without a fault, and one for every fault before and after every step of it. */
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

    /** Returns the given number of cells per protocol, each with two faults chosen by its seed. */
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

    CellResult run(Set<Mechanism> off) {
        SimulationContext context = new SimulationContext(injections, off, seed);
        Scenario scenario = protocol.scenario();
        List<Finding> findings = scenario.run(context);
        return new CellResult(
                this,
                scenario,
                findings,
                context.notReached() == 0,
                context.scheduler().trace());
    }

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
