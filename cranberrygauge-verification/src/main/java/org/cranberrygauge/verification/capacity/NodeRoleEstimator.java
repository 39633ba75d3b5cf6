package org.cranberrygauge.verification.capacity;

import java.util.List;
import org.cranberrygauge.decision.topology.ControlNode;
import org.cranberrygauge.decision.topology.ExchangePlan;

/**
 * Estimates the cost of a node's roles on the request path and towards its peers.
 *
 * <p>Not thread-safe.
 */
final class NodeRoleEstimator {

    /** The exchange rounds per second in the present form. */
    private static final double ROUNDS_PER_SECOND_TODAY = 4;

    /** The exchange rounds per second within cells. */
    private static final double ROUNDS_PER_SECOND_IN_CELLS = 1.5;

    /** The updates per second of the routing table in the present form. */
    private static final double REFRESHES_PER_SECOND_TODAY = 10;

    /** The updates per second of the routing table in the needed form. */
    private static final double REFRESHES_PER_SECOND_NEEDED = 2;

    private static final double CELL_PEERS = 7;

    /** The seconds between two scrapes in the present form. */
    private static final double SCRAPE_SECONDS_TODAY = 15;

    /** The seconds between two scrapes in the needed form. */
    private static final double SCRAPE_SECONDS_NEEDED = 60;

    private static final double MEMBER_CHANGES_PER_DAY = 500;

    private final SlopeTable slopes;

    private final EstimateTable table;

    NodeRoleEstimator(SlopeTable slopes, EstimateTable table) {
        this.slopes = slopes;
        this.table = table;
    }

    /** Adds the estimates of the request path. */
    void add() {
        addRequestHandling();
        addRouting();
        addExchange("all to all", ExchangePlan.AllToAll.INSTANCE, true);
        addExchange("cells", ExchangePlan.Cells.standard(), false);
        double cells = MEMBER_CHANGES_PER_DAY / TargetSize.DAY_SECONDS;
        table.needed(
                        "cells computed",
                        cells * slopes.at("cells computed after a change of members", TargetSize.NODES),
                        Budget.WORK,
                        "500 joins and leaves a day")
                .counted();
    }

    void addMetrics() {
        table.role("metrics");
        double pairs = TargetSize.PAIRS;
        table.today("memory", slopes.at("memory: metrics", pairs), Budget.MEMORY, "5360 pairs of customer and class");
        addScrape("plain scrape", "metrics bytes of a scrape", pairs, SCRAPE_SECONDS_TODAY, true);
        addScrape("compressed scrape", "metrics bytes of a compressed scrape", pairs, SCRAPE_SECONDS_TODAY, true);
        table.today(
                "work of scrapes",
                slopes.at("metrics work of a compressed scrape", pairs) / SCRAPE_SECONDS_TODAY,
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
        addScrape("compressed scrape", "metrics bytes of a compressed scrape", few, SCRAPE_SECONDS_NEEDED, false);
        table.needed(
                        "work of scrapes",
                        slopes.at("metrics work of a compressed scrape", few) / SCRAPE_SECONDS_NEEDED,
                        Budget.WORK,
                        "678 series, every 60 s")
                .counted();
    }

    private void addScrape(String quantity, String slope, double series, double seconds, boolean today) {
        double value = slopes.at(slope, series) / seconds;
        String basis = Math.round(series) + " series of each metric, every " + Math.round(seconds) + " s";
        if (today) {
            table.today(quantity, value, Budget.TRAFFIC, basis);
        } else {
            table.needed(quantity, value, Budget.TRAFFIC, basis).counted();
        }
    }

    /** Adds the estimates of handling callers' requests. */
    private void addRequestHandling() {
        table.role("request admission");
        double requests = TargetSize.REQUESTS_PER_SECOND / TargetSize.NODES;
        table.today(
                        "key checks",
                        requests * slopes.at("key check of one request", TargetSize.CUSTOMERS),
                        Budget.WORK,
                        "23.3 requests/s a node")
                .counted();
    }

    private void addRouting() {
        table.role("routing");
        Slope servers = slopes.slope("routing view refresh by backend servers");
        Slope peers = slopes.slope("routing view refresh by peers");
        double all = servers.at(TargetSize.SERVERS) + peers.fit().slope() * (TargetSize.NODES - 1);
        table.today(
                        "view refresh",
                        REFRESHES_PER_SECOND_TODAY * all,
                        Budget.WORK,
                        "10 a second, 940 servers, 329 peers")
                .extrapolated(true);
        double cell = servers.at(TargetSize.SERVERS) + peers.fit().slope() * CELL_PEERS;
        table.needed(
                        "view refresh",
                        REFRESHES_PER_SECOND_NEEDED * cell,
                        Budget.WORK,
                        "2 a second, 940 servers, 7 peers")
                .counted();
    }

    /** Adds the estimates of the exchange between peers. */
    private void addExchange(String name, ExchangePlan plan, boolean today) {
        table.role("peers' exchange");
        List<ControlNode> nodes = ExchangeBenchmark.nodes(TargetSize.NODES);
        double rounds = today ? ROUNDS_PER_SECOND_TODAY : ROUNDS_PER_SECOND_IN_CELLS;
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
