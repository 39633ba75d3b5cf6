package org.cranberrygauge.verification.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cranberrygauge.decision.topology.ControlNode;
import org.cranberrygauge.decision.topology.ExchangePlan;

/**
 * Works out the cost of control at the target size from measured slopes.
 *
 * <p>Used by one thread.
 */
final class TargetModel {

    /** The nodes. */
    static final int NODES = 330;

    /** The backend servers. */
    static final int SERVERS = 940;

    /** The customers. */
    static final int CUSTOMERS = 670;

    /** The requests a second of the whole system. */
    static final double REQUESTS_PER_SECOND = 7_700;

    /** The tokens a second of the whole system. */
    static final double TOKENS_PER_SECOND = 1_600_000;

    /** The changes of the configuration a second at ten times the average of a day. */
    static final double CHANGES_PER_SECOND = 10 * 1_500 / 86_400.0;

    /** The share of requests that are reserved in the log, which is an assumption. */
    static final double RESERVED_SHARE = 0.05;

    /** The processor time of control on one node in microseconds a second. */
    private static final double PROCESSOR_BUDGET = 32_000;

    /** The memory of control on one node in bytes. */
    private static final double MEMORY_BUDGET = 32.0 * 1024 * 1024;

    /** The traffic of control on one node in bytes a second. */
    private static final double TRAFFIC_BUDGET = 21 * 1024.0;

    /** The appends a second that the log takes, for several hundred. */
    private static final double APPEND_BUDGET = 300;

    /** The time in which a change is in force in milliseconds. */
    private static final double CHANGE_BUDGET_MILLIS = 4_000;

    /** The rounds of exchange a second. */
    private static final double ROUNDS_PER_SECOND = 4;

    /** The refreshes of the view of backend servers a second. */
    private static final double REFRESHES_PER_SECOND = 50;

    /** The usage deltas of one gateway a second. */
    private static final double DELTAS_PER_SECOND = 1;

    /** The seconds for which a reservation is kept. */
    private static final double RETENTION_SECONDS = 86_400;

    /** The seconds between two scrapes. */
    private static final double SCRAPE_SECONDS = 15;

    /** The lease claims a second of the whole system. */
    private static final double CLAIMS_PER_SECOND = 0.5;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The form that runs today. */
    private static final String TODAY = "today";

    /** The form that is needed. */
    private static final String NEEDED = "needed";

    /** The slopes by name. */
    private final Map<String, Slope> slopes;

    /** The estimates worked out so far. */
    private final List<Estimate> estimates = new ArrayList<>();

    /** The cells at the target size. */
    private final int cells;

    /**
     * Creates a model.
     *
     * @param slopes The slopes.
     */
    TargetModel(List<Slope> slopes) {
        this.slopes = slopes.stream().collect(Collectors.toMap(Slope::name, Function.identity()));
        this.cells = ExchangePlan.Cells.standard()
                .cells(ExchangeMeasures.nodes(NODES))
                .size();
    }

    /**
     * Works out all estimates.
     *
     * @return The estimates in the order of the roles.
     */
    List<Estimate> estimates() {
        entry();
        routing();
        exchange();
        log();
        appends();
        configuration();
        reservations();
        usage();
        lease();
        metrics();
        return List.copyOf(estimates);
    }

    /** The caller's entry. */
    private void entry() {
        double requests = REQUESTS_PER_SECOND / NODES;
        Slope check = slope("key check of one request");
        add(
                "caller's entry",
                "key checks",
                TODAY,
                requests * check.at(CUSTOMERS),
                "us/s",
                PROCESSOR_BUDGET,
                "23.3 requests/s a node",
                check.isExtrapolated(CUSTOMERS));
        Slope build = slope("key index build");
        add(
                "caller's entry",
                "key index after each change",
                TODAY,
                CHANGES_PER_SECOND * build.at(CUSTOMERS),
                "us/s",
                PROCESSOR_BUDGET,
                "0.17 changes/s",
                false);
    }

    /** Routing. */
    private void routing() {
        double decisions = REQUESTS_PER_SECOND / NODES;
        Slope candidates = slope("routing candidates");
        double all = (double) SERVERS / Population.MODELS * (NODES - 1);
        add(
                "routing",
                "candidates of a decision",
                TODAY,
                decisions * candidates.at(all),
                "us/s",
                PROCESSOR_BUDGET,
                "134 backend servers of a model, 329 peers",
                candidates.isExtrapolated(all));
        double cell = ExchangeMeasures.CELL_SERVERS * 7;
        add(
                "routing",
                "candidates of a decision",
                NEEDED,
                decisions * candidates.at(cell),
                "us/s",
                PROCESSOR_BUDGET,
                "cells: 24 backend servers, 7 peers",
                candidates.isExtrapolated(cell));
        Slope refresh = slope("routing view refresh");
        add(
                "routing",
                "view refresh, 50 a second",
                TODAY,
                REFRESHES_PER_SECOND * refresh.at(SERVERS),
                "us/s",
                PROCESSOR_BUDGET,
                "940 backend servers",
                refresh.isExtrapolated(SERVERS));
        add(
                "routing",
                "view refresh, on change or 2 a second",
                NEEDED,
                2 * refresh.at(SERVERS),
                "us/s",
                PROCESSOR_BUDGET,
                "940 backend servers",
                refresh.isExtrapolated(SERVERS));
    }

    /** The peers' exchange. */
    private void exchange() {
        for (String plan : List.of("all to all", "cells")) {
            boolean today = plan.equals("all to all");
            String form = today ? TODAY : NEEDED;
            List<ControlNode> nodes = ExchangeMeasures.nodes(NODES);
            ExchangePlan exact = today ? ExchangePlan.AllToAll.INSTANCE : ExchangePlan.Cells.standard();
            double messages = ExchangeMeasures.messages(exact, nodes);
            Slope fit = slope("exchange messages a round: " + plan);
            double perMessage = ratio("exchange bytes a round: " + plan, fit);
            double workPerMessage = ratio("exchange work a round: " + plan, fit);
            double rounds = today ? ROUNDS_PER_SECOND : 1;
            String basis = plan + ", " + rounds + " rounds/s, busiest node, plan computed at 330 nodes";
            add("peers' exchange", "messages", form, rounds * messages, "messages/s", 0, basis, false);
            add("peers' exchange", "traffic", form, rounds * messages * perMessage, "B/s", TRAFFIC_BUDGET, basis, true);
            add(
                    "peers' exchange",
                    "work",
                    form,
                    rounds * messages * workPerMessage,
                    "us/s",
                    PROCESSOR_BUDGET,
                    basis,
                    true);
        }
        Slope plan = slope("cells computed after a change of members");
        add(
                "peers' exchange",
                "cells computed at 500 joins and leaves a day",
                NEEDED,
                500 / 86_400.0 * plan.at(NODES),
                "us/s",
                PROCESSOR_BUDGET,
                "330 nodes",
                false);
    }

    /** Reading the log. */
    private void log() {
        double reserved = REQUESTS_PER_SECOND * RESERVED_SHARE;
        double pairs = REQUESTS_PER_SECOND / NODES * (1 / DELTAS_PER_SECOND);
        double traffic = reserved * (one("log bytes: reservation") + one("log bytes: reservation outcome"))
                + NODES * DELTAS_PER_SECOND * slope("log bytes: usage delta").at(pairs);
        double work =
                reserved * (one("log read and apply: reservation") + one("log read and apply: reservation outcome"))
                        + NODES
                                * DELTAS_PER_SECOND
                                * slope("log read and apply: usage delta").at(pairs);
        String basis = "385 reservations and outcomes/s, 330 usage deltas/s with 23 pairs; every node reads all";
        add("log reading", "traffic", TODAY, traffic, "B/s", TRAFFIC_BUDGET, basis, true);
        add("log reading", "work", TODAY, work, "us/s", PROCESSOR_BUDGET, basis, true);
        double share = 2.0 / cells;
        double reservationShare =
                share * reserved * (one("log bytes: reservation") + one("log bytes: reservation outcome"));
        double relayed = CHANGES_PER_SECOND * slope("edit bytes").at(CUSTOMERS)
                + CLAIMS_PER_SECOND * one("log bytes: lease claim");
        add(
                "log reading",
                "traffic of a cell's reader",
                NEEDED,
                reservationShare + 7 * relayed,
                "B/s",
                TRAFFIC_BUDGET,
                "control stream passed to 7 members; each reservation read by 2 of " + cells
                        + " cells; usage read by the lease holder's cell only",
                true);
        double replay = RETENTION_SECONDS * work / (MILLIS_PER_SECOND * MILLIS_PER_SECOND);
        add(
                "log reading",
                "replay of a day at a start",
                TODAY,
                replay,
                "s",
                CHANGE_BUDGET_MILLIS / MILLIS_PER_SECOND,
                "no snapshot; one core",
                true);
    }

    /** Writing the log. */
    private void appends() {
        double records = 2 * REQUESTS_PER_SECOND * RESERVED_SHARE + NODES * DELTAS_PER_SECOND;
        for (int writers : new int[] {NODES, cells, Population.DATA_CENTRES}) {
            Slope cycle = slope("time between entries of one writer");
            double between = MILLIS_PER_SECOND * writers / records;
            double entries = writers * MILLIS_PER_SECOND / cycle.at(between);
            add(
                    "log writing",
                    "appends, " + writers + " writers",
                    writers == NODES ? TODAY : NEEDED,
                    entries,
                    "appends/s",
                    APPEND_BUDGET,
                    "1100 records/s; gather 5 ms, answer 5 ms",
                    cycle.isExtrapolated(between));
        }
        double gathered = Population.DATA_CENTRES * MILLIS_PER_SECOND / 50;
        add(
                "log writing",
                "appends, 7 writers that gather for 50 ms",
                NEEDED,
                gathered,
                "appends/s",
                APPEND_BUDGET,
                "at most one entry each 50 ms a writer; adds 50 ms to a reserved call",
                true);
    }

    /** The configuration. */
    private void configuration() {
        double bytes = combined("configuration bytes by ");
        add("configuration", "one change as a whole record", TODAY, bytes, "B", 0, "670 customers, 940 servers", false);
        add(
                "configuration",
                "traffic",
                TODAY,
                CHANGES_PER_SECOND * bytes,
                "B/s",
                TRAFFIC_BUDGET,
                "0.17 changes/s, ten times the day's average",
                false);
        add(
                "configuration",
                "time to receive one change at 21 KB/s",
                TODAY,
                MILLIS_PER_SECOND * bytes / TRAFFIC_BUDGET,
                "ms",
                CHANGE_BUDGET_MILLIS,
                "whole record",
                false);
        add(
                "configuration",
                "read and apply",
                TODAY,
                CHANGES_PER_SECOND * combined("configuration read and apply by "),
                "us/s",
                PROCESSOR_BUDGET,
                "0.17 changes/s",
                false);
        add(
                "configuration",
                "memory",
                TODAY,
                combined("configuration memory by "),
                "B",
                MEMORY_BUDGET,
                "one copy; two during a change",
                false);
        double edit = slope("edit bytes").at(CUSTOMERS);
        add("configuration", "one change as an edit", NEEDED, edit, "B", 0, "customer with two keys", false);
        add(
                "configuration",
                "traffic of edits",
                NEEDED,
                CHANGES_PER_SECOND * edit,
                "B/s",
                TRAFFIC_BUDGET,
                "0.17 changes/s",
                false);
        add(
                "configuration",
                "edits applied",
                NEEDED,
                CHANGES_PER_SECOND
                        * (slope("edit apply").at(CUSTOMERS)
                                + slope("key index build").at(CUSTOMERS)),
                "us/s",
                PROCESSOR_BUDGET,
                "0.17 changes/s, with the key index",
                false);
    }

    /** Reservations. */
    private void reservations() {
        Slope memory = slope("memory: reservations");
        double kept = REQUESTS_PER_SECOND * RESERVED_SHARE * RETENTION_SECONDS;
        add(
                "reservations",
                "memory on each node",
                TODAY,
                memory.at(kept),
                "B",
                MEMORY_BUDGET,
                "385/s kept for a day by every node",
                true);
        double share = REQUESTS_PER_SECOND * RESERVED_SHARE * 3_600 * 2 / cells;
        add(
                "reservations",
                "memory on a node of an owning cell",
                NEEDED,
                memory.at(share),
                "B",
                MEMORY_BUDGET,
                "kept for an hour by 2 of " + cells + " cells",
                memory.isExtrapolated(share));
    }

    /** Usage. */
    private void usage() {
        Slope memory = slope("memory: usage ledger");
        double pairs = (double) CUSTOMERS * Population.CLASSES;
        add(
                "usage",
                "memory of the ledger on each node",
                TODAY,
                memory.at(NODES * pairs),
                "B",
                MEMORY_BUDGET,
                "330 gateways times 5360 pairs, if every pair meets every gateway",
                true);
        add(
                "usage",
                "memory of the ledger, deltas summed by data centre",
                NEEDED,
                memory.at(Population.DATA_CENTRES * pairs),
                "B",
                MEMORY_BUDGET,
                "7 writers times 5360 pairs",
                memory.isExtrapolated(Population.DATA_CENTRES * pairs));
        double delta = slope("log bytes: usage delta").at(REQUESTS_PER_SECOND / NODES);
        add(
                "usage",
                "deltas written by one node",
                TODAY,
                DELTAS_PER_SECOND * delta,
                "B/s",
                TRAFFIC_BUDGET,
                "one a second with 23 pairs",
                false);
    }

    /** Lease and orders. */
    private void lease() {
        add(
                "lease and orders",
                "appends",
                TODAY,
                CLAIMS_PER_SECOND,
                "appends/s",
                APPEND_BUDGET,
                "one holder, three renewals in 6 s",
                false);
        add(
                "lease and orders",
                "read on each node",
                TODAY,
                CLAIMS_PER_SECOND * one("log read and apply: lease claim"),
                "us/s",
                PROCESSOR_BUDGET,
                "0.5 claims/s",
                false);
    }

    /** Metrics. */
    private void metrics() {
        double pairs = (double) CUSTOMERS * Population.CLASSES;
        add("metrics", "memory", TODAY, slope("memory: metrics").at(pairs), "B", MEMORY_BUDGET, "5360 pairs", false);
        add(
                "metrics",
                "scrape traffic",
                TODAY,
                slope("metrics bytes of a scrape").at(pairs) / SCRAPE_SECONDS,
                "B/s",
                TRAFFIC_BUDGET,
                "5360 pairs, every 15 s",
                false);
        add(
                "metrics",
                "scrape work",
                TODAY,
                slope("metrics work of a scrape").at(pairs) / SCRAPE_SECONDS,
                "us/s",
                PROCESSOR_BUDGET,
                "5360 pairs, every 15 s",
                false);
        add(
                "metrics",
                "work of tokens",
                TODAY,
                TOKENS_PER_SECOND / NODES * slope("metrics work of one token").at(pairs),
                "us/s",
                PROCESSOR_BUDGET,
                "4848 tokens/s a node",
                false);
        double few = CUSTOMERS + Population.CLASSES;
        add(
                "metrics",
                "memory",
                NEEDED,
                slope("memory: metrics").at(few),
                "B",
                MEMORY_BUDGET,
                "by customer and by class, not by pair: 678 series of each",
                false);
        add(
                "metrics",
                "scrape traffic",
                NEEDED,
                slope("metrics bytes of a scrape").at(few) / 60,
                "B/s",
                TRAFFIC_BUDGET,
                "678 series of each, every 60 s",
                false);
    }

    /**
     * Adds the two parts of a cost of the configuration.
     *
     * @param prefix The start of the names of the slopes.
     * @return The cost at the target size.
     */
    private double combined(String prefix) {
        Slope customers = slope(prefix + "customers");
        Slope servers = slope(prefix + "backend servers");
        return customers.at(CUSTOMERS) + servers.fit().slope() * SERVERS;
    }

    /**
     * Returns the cost of an entry with one record.
     *
     * @param name The name of the slope.
     * @return The cost.
     */
    private double one(String name) {
        return slope(name).samples().get(0).y();
    }

    /**
     * Returns the cost of one message.
     *
     * @param name The name of the slope.
     * @param messages The slope of the messages.
     * @return The cost at the largest measured size divided by its messages.
     */
    private double ratio(String name, Slope messages) {
        int last = messages.samples().size() - 1;
        return slope(name).samples().get(last).y()
                / messages.samples().get(last).y();
    }

    /**
     * Finds a slope.
     *
     * @param name The name.
     * @return The slope.
     */
    private Slope slope(String name) {
        Slope slope = slopes.get(name);
        if (slope == null) {
            throw new IllegalStateException("no slope " + name);
        }
        return slope;
    }

    /**
     * Adds an estimate.
     *
     * @param role The role.
     * @param quantity What it is.
     * @param form The form of the mechanism.
     * @param value The value.
     * @param unit The unit.
     * @param budget The budget, or 0.
     * @param basis What it follows from.
     * @param extrapolated Whether it is extrapolated.
     */
    private void add(
            String role,
            String quantity,
            String form,
            double value,
            String unit,
            double budget,
            String basis,
            boolean extrapolated) {
        estimates.add(new Estimate(role, quantity, form, value, unit, budget, basis, extrapolated));
    }
}
