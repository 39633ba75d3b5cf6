package org.cranberrygauge.verification.capacity;

import java.util.List;
import org.cranberrygauge.decision.topology.ControlNode;
import org.cranberrygauge.decision.topology.ExchangePlan;

/**
 * Works out what the roles cost that a node plays on the path of requests and towards its peers.
 *
 * <p>Used by one thread.
 */
final class NodeRoleEstimator {

    /** The rounds of exchange a second today. */
    private static final double ROUNDS_TODAY = 4;

    /** The rounds of exchange a second in cells. */
    private static final double ROUNDS_IN_CELLS = 1.5;

    /** The refreshes of the view of backend servers a second today. */
    private static final double REFRESHES_TODAY = 10;

    /** The refreshes of the view of backend servers a second that are needed. */
    private static final double REFRESHES_NEEDED = 2;

    /** The peers in a cell. */
    private static final double CELL_PEERS = 7;

    /** The seconds between two scrapes today. */
    private static final double SCRAPE_TODAY = 15;

    /** The seconds between two scrapes that are needed. */
    private static final double SCRAPE_NEEDED = 60;

    /** The changes of members a day. */
    private static final double MEMBER_CHANGES = 500;

    /** The slopes. */
    private final SlopeTable slopes;

    /** Takes the estimates. */
    private final EstimateTable table;

    /**
     * Creates the roles.
     *
     * @param slopes The slopes.
     * @param table Takes the estimates.
     */
    NodeRoleEstimator(SlopeTable slopes, EstimateTable table) {
        this.slopes = slopes;
        this.table = table;
    }

    /** Adds all estimates of the path of requests. */
    void add() {
        entry();
        routing();
        exchange("all to all", ExchangePlan.AllToAll.INSTANCE, true);
        exchange("cells", ExchangePlan.Cells.standard(), false);
        double cells = MEMBER_CHANGES / TargetSize.DAY_SECONDS;
        table.needed(
                        "cells computed",
                        cells * slopes.at("cells computed after a change of members", TargetSize.NODES),
                        Budget.WORK,
                        "500 joins and leaves a day")
                .counted();
    }

    /** Adds the estimates of the metrics. */
    void addMetrics() {
        table.role("metrics");
        double pairs = TargetSize.PAIRS;
        table.today("memory", slopes.at("memory: metrics", pairs), Budget.MEMORY, "5360 pairs of customer and class");
        scrape("plain scrape", "metrics bytes of a scrape", pairs, SCRAPE_TODAY, true);
        scrape("compressed scrape", "metrics bytes of a compressed scrape", pairs, SCRAPE_TODAY, true);
        table.today(
                "work of scrapes",
                slopes.at("metrics work of a compressed scrape", pairs) / SCRAPE_TODAY,
                Budget.WORK,
                "5360 pairs, every 15 s");
        double tokens = TargetSize.TOKENS_PER_SECOND / TargetSize.NODES;
        table.today(
                        "work of tokens",
                        tokens * slopes.at("metrics work of one token", pairs),
                        Budget.WORK,
                        "4848 tokens/s a node")
                .counted();
        double few = (double) TargetSize.CUSTOMERS + SyntheticData.CLASSES;
        table.needed(
                        "memory",
                        slopes.at("memory: metrics", few),
                        Budget.MEMORY,
                        "678 series: by customer, and by class")
                .counted();
        scrape("compressed scrape", "metrics bytes of a compressed scrape", few, SCRAPE_NEEDED, false);
        table.needed(
                        "work of scrapes",
                        slopes.at("metrics work of a compressed scrape", few) / SCRAPE_NEEDED,
                        Budget.WORK,
                        "678 series, every 60 s")
                .counted();
    }

    /**
     * Adds the traffic of scrapes.
     *
     * @param quantity What it is.
     * @param slope The slope of the bytes.
     * @param series The number of series of each metric.
     * @param seconds The seconds between two scrapes.
     * @param today Whether it is the form that runs today.
     */
    private void scrape(String quantity, String slope, double series, double seconds, boolean today) {
        double value = slopes.at(slope, series) / seconds;
        String basis = Math.round(series) + " series of each metric, every " + Math.round(seconds) + " s";
        if (today) {
            table.today(quantity, value, Budget.TRAFFIC, basis);
        } else {
            table.needed(quantity, value, Budget.TRAFFIC, basis).counted();
        }
    }

    /** The caller's entry. */
    private void entry() {
        table.role("caller's entry");
        double requests = TargetSize.REQUESTS_PER_SECOND / TargetSize.NODES;
        table.today(
                        "key checks",
                        requests * slopes.at("key check of one request", TargetSize.CUSTOMERS),
                        Budget.WORK,
                        "23.3 requests/s a node")
                .counted();
    }

    /** Routing. */
    private void routing() {
        table.role("routing");
        Slope servers = slopes.slope("routing view refresh by backend servers");
        Slope peers = slopes.slope("routing view refresh by peers");
        double all = servers.at(TargetSize.SERVERS) + peers.fit().slope() * (TargetSize.NODES - 1);
        table.today("view refresh", REFRESHES_TODAY * all, Budget.WORK, "10 a second, 940 servers, 329 peers")
                .extrapolated(true);
        double cell = servers.at(TargetSize.SERVERS) + peers.fit().slope() * CELL_PEERS;
        table.needed("view refresh", REFRESHES_NEEDED * cell, Budget.WORK, "2 a second, 940 servers, 7 peers")
                .counted();
    }

    /**
     * The peers' exchange.
     *
     * @param name The name of the plan.
     * @param plan The plan.
     * @param today Whether it is the form that runs today.
     */
    private void exchange(String name, ExchangePlan plan, boolean today) {
        table.role("peers' exchange");
        List<ControlNode> nodes = ExchangeBenchmark.nodes(TargetSize.NODES);
        double rounds = today ? ROUNDS_TODAY : ROUNDS_IN_CELLS;
        double messages = rounds * ExchangeBenchmark.messages(plan, nodes);
        String numbers = "exchange messages a round: " + name;
        double traffic = messages * slopes.perMessage("exchange bytes a round: " + name, numbers);
        double work = messages * slopes.perMessage("exchange work a round: " + name, numbers);
        String basis = name + ", " + rounds + " rounds/s, busiest node; plan computed at 330 nodes";
        if (today) {
            table.today("messages", messages, Budget.MESSAGES, basis);
            table.today("traffic", traffic, Budget.TRAFFIC, basis).extrapolated(true);
            table.today("work", work, Budget.WORK, basis).extrapolated(true);
        } else {
            table.needed("messages", messages, Budget.MESSAGES, basis);
            table.needed("traffic", traffic, Budget.TRAFFIC, basis)
                    .extrapolated(true)
                    .counted();
            table.needed("work", work, Budget.WORK, basis).extrapolated(true).counted();
        }
    }
}
