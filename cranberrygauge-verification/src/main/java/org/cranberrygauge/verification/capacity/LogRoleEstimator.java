package org.cranberrygauge.verification.capacity;

/**
 * Estimates the cost of the roles that write to the log or follow it.
 *
 * <p>Not thread-safe.
 */
final class LogRoleEstimator {

    /** The usage deltas per second of one gateway. */
    private static final double DELTAS_PER_SECOND = 1;

    /** The lease claims per second of the whole system. */
    private static final double CLAIMS_PER_SECOND = 0.5;

    /** The time for which a writer batches records in the needed form. */
    private static final double BATCHING_MILLIS = 50;

    /** The owners of each reservation in the needed form. */
    private static final double OWNERS = 2;

    /** The members that a reader relays the log to. */
    private static final double SERVED_MEMBERS = 7;

    private static final double MICROS_PER_SECOND = 1_000_000;

    private final SlopeTable slopes;

    private final EstimateTable table;

    private final int cells;

    LogRoleEstimator(SlopeTable slopes, EstimateTable table, int cells) {
        this.slopes = slopes;
        this.table = table;
        this.cells = cells;
    }

    void add() {
        addLogReading();
        addLogWriting();
        addConfiguration();
        addReservations();
        addUsage();
        addLease();
    }

    private void addLogReading() {
        table.role("log reading");
        double pairs = TargetSize.REQUESTS_PER_SECOND / TargetSize.NODES / DELTAS_PER_SECOND;
        double deltas = TargetSize.NODES * DELTAS_PER_SECOND;
        double reservedBytes = slopes.at("log bytes: reservation", 1) + slopes.at("log bytes: reservation outcome", 1);
        double reservedWork = slopes.at("log read and apply: reservation", 1)
                + slopes.at("log read and apply: reservation outcome", 1);
        double traffic =
                TargetSize.RESERVED_PER_SECOND * reservedBytes + deltas * slopes.at("log bytes: usage delta", pairs);
        double work = TargetSize.RESERVED_PER_SECOND * reservedWork
                + deltas * slopes.at("log read and apply: usage delta", pairs);
        String all = "385 reservations, 385 outcomes, 330 usage deltas of 23 pairs a second; every node reads all";
        table.today("traffic", traffic, Budget.TRAFFIC, all).extrapolated(true);
        table.today("work", work, Budget.WORK, all).extrapolated(true);
        table.today("bytes of a day, read at each start", traffic * TargetSize.DAY_SECONDS, Budget.SIZE, "no snapshot")
                .extrapolated(true);
        double replay = work * TargetSize.DAY_SECONDS / MICROS_PER_SECOND;
        table.today("work of that read", replay, Budget.TIME, "no snapshot; one core")
                .extrapolated(true);
        double share = OWNERS / cells * TargetSize.RESERVED_PER_SECOND;
        double control = TargetSize.CHANGES_PER_SECOND * slopes.at("edit bytes", TargetSize.CUSTOMERS)
                + CLAIMS_PER_SECOND * slopes.at("log bytes: lease claim", 1);
        String divided = "one of two readers of a cell: control records for itself and 7 members, and the reservations"
                + " that its cell owns (2 of " + cells + " cells each); usage is read by the lease holder only";
        table.needed("traffic", share * reservedBytes + (1 + SERVED_MEMBERS) * control, Budget.TRAFFIC, divided)
                .extrapolated(true)
                .counted();
        table.needed(
                        "work",
                        share * reservedWork + CLAIMS_PER_SECOND * slopes.at("log read and apply: lease claim", 1),
                        Budget.WORK,
                        divided)
                .extrapolated(true)
                .counted();
    }

    private void addLogWriting() {
        table.role("log writing");
        double records = 2 * TargetSize.RESERVED_PER_SECOND + TargetSize.NODES * DELTAS_PER_SECOND;
        table.today("appends, 330 writers", appends(TargetSize.NODES, records), Budget.APPENDS, "1100 records/s");
        table.needed("appends, " + cells + " writers", appends(cells, records), Budget.APPENDS, "one writer a cell");
        table.needed(
                "appends, 7 writers",
                appends(SyntheticData.DATA_CENTRES, records),
                Budget.APPENDS,
                "one writer a data centre; batches over 5 ms");
        double batchedAppends = SyntheticData.DATA_CENTRES * TargetSize.MILLIS_PER_SECOND / BATCHING_MILLIS;
        table.needed(
                        "appends, 7 writers that batch over 50 ms",
                        batchedAppends,
                        Budget.APPENDS,
                        "at most one entry a writer each 50 ms; adds up to 50 ms to a reserved call")
                .extrapolated(true);
    }

    private void addConfiguration() {
        table.role("configuration");
        double changes = TargetSize.CHANGES_PER_SECOND;
        double bytes = slopes.configuration("configuration bytes by ");
        table.today("one change, a complete record", bytes, Budget.SIZE, "670 customers, 940 backend servers");
        table.today("traffic", changes * bytes, Budget.TRAFFIC, "0.17 changes/s, ten times the day's average");
        table.today(
                "traffic on the average of a day",
                TargetSize.AVERAGE_CHANGES_PER_SECOND * bytes,
                Budget.TRAFFIC,
                "0.017 changes/s");
        double arrival = TargetSize.MILLIS_PER_SECOND * bytes / Budget.TRAFFIC.limit();
        table.today("time until a change arrives", arrival, Budget.CHANGE, "complete record at 21 KiB/s");
        table.today(
                "read and apply",
                changes * slopes.configuration("configuration read and apply by "),
                Budget.WORK,
                "0.17 changes/s");
        table.today(
                        "memory",
                        slopes.configuration("configuration memory by "),
                        Budget.MEMORY,
                        "one copy; two during a change")
                .counted();
        double edit = slopes.at("edit bytes", TargetSize.CUSTOMERS);
        table.needed("one change, an edit", edit, Budget.SIZE, "a customer with two keys");
        table.needed(
                "time until a change arrives",
                TargetSize.MILLIS_PER_SECOND * edit / Budget.TRAFFIC.limit(),
                Budget.CHANGE,
                "an edit at 21 KiB/s, without the delay of log and reader");
        double work =
                slopes.at("edit apply", TargetSize.CUSTOMERS) + slopes.at("key index build", TargetSize.CUSTOMERS);
        table.needed("apply and key index", changes * work, Budget.WORK, "0.17 changes/s")
                .counted();
    }

    private void addReservations() {
        table.role("reservations");
        Slope memory = slopes.slope("memory: reservations");
        double day = TargetSize.RESERVED_PER_SECOND * TargetSize.DAY_SECONDS;
        table.today("memory", memory.at(day), Budget.MEMORY, "385/s kept for a day by every node")
                .extrapolated(true);
        double hour = TargetSize.RESERVED_PER_SECOND * TargetSize.HOUR_SECONDS * OWNERS / TargetSize.NODES;
        table.needed("memory", memory.at(hour), Budget.MEMORY, "kept for an hour by 2 nodes, by rendezvous hash")
                .extrapolated(memory.isExtrapolated(hour))
                .counted();
    }

    private void addUsage() {
        table.role("usage");
        Slope memory = slopes.slope("memory: usage ledger");
        double all = TargetSize.NODES * TargetSize.PAIRS;
        table.today(
                        "memory",
                        memory.at(all),
                        Budget.MEMORY,
                        "330 gateways times 5360 pairs, if each gateway serves each pair")
                .extrapolated(true);
        double summed = SyntheticData.DATA_CENTRES * TargetSize.PAIRS;
        table.needed("memory", memory.at(summed), Budget.MEMORY, "7 writers that sum up, times 5360 pairs")
                .extrapolated(memory.isExtrapolated(summed))
                .counted();
        double delta = slopes.at("log bytes: usage delta", TargetSize.REQUESTS_PER_SECOND / TargetSize.NODES);
        table.today("deltas written", DELTAS_PER_SECOND * delta, Budget.TRAFFIC, "one a second with 23 pairs")
                .counted();
    }

    /** Adds the estimates of the lease and of orders. */
    private void addLease() {
        table.role("lease and orders");
        table.today("appends", CLAIMS_PER_SECOND, Budget.APPENDS, "one holder, three renewals in 6 s");
        table.today(
                "work on each node",
                CLAIMS_PER_SECOND * slopes.at("log read and apply: lease claim", 1),
                Budget.WORK,
                "0.5 claims/s");
    }

    /**
     * Returns the entries per second of several writers that together write the given number of records per second.
     */
    private double appends(int writers, double records) {
        double between = TargetSize.MILLIS_PER_SECOND * writers / records;
        return writers * TargetSize.MILLIS_PER_SECOND / slopes.at("time between entries of one writer", between);
    }
}
