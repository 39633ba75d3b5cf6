package org.cranberrygauge.verification.capacity;

import java.time.DayOfWeek;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.DataCentre;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.CleaningWindow;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.ControlTimes;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.protocol.generated.GatewayReport;

/**
 * Makes configurations, reports and records of a given size.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class SyntheticData {

    /** The number of tiers and classes. */
    static final int CLASSES = 8;

    /** The number of models. */
    static final int MODELS = 7;

    /** The number of data centres. */
    static final int DATA_CENTRES = 7;

    /** The first port of backend servers. */
    private static final int FIRST_PORT = 20_000;

    /** The slots of a backend server. */
    private static final int SLOTS = 64;

    /** The retention of reservations in milliseconds. */
    private static final long RETENTION_MILLIS = 86_400_000;

    /** The share that each class is guaranteed. */
    private static final double SHARE = 0.1;

    /** Prevents instances. */
    private SyntheticData() {}

    /**
     * Makes a configuration that passes its checks.
     *
     * @param customers The number of customers, each with two keys.
     * @param servers The number of backend servers.
     * @return The configuration.
     */
    static Configuration configuration(int customers, int servers) {
        Set<String> classNames = new TreeSet<>();
        IntStream.range(0, CLASSES).forEach(tier -> classNames.add("class-" + tier));
        return named().withDataCentres(
                        range(DATA_CENTRES).map(SyntheticData::dataCentre).toList())
                .withModels(range(MODELS).map(model -> "model-" + model).toList())
                .withClasses(range(CLASSES)
                        .map(tier -> new ServiceClass("class-" + tier, tier, SHARE, 1_400, 31, 5_000, 500))
                        .toList())
                .withCustomers(range(customers)
                        .map(number -> customer(number, classNames))
                        .toList())
                .withBackendServers(range(servers).map(SyntheticData::server).toList())
                .withFleet(range(DATA_CENTRES)
                        .map(number -> new FleetPool("centre-" + number, "model-0", Supply.CHEAP, 0, 20, 1.2))
                        .toList())
                .withCleaningWindows(range(DATA_CENTRES)
                        .map(number -> new CleaningWindow("centre-" + number, DayOfWeek.of(number + 1), 120, 180))
                        .toList())
                .withTimes(new ControlTimes(6_000, 1_000, 60_000, RETENTION_MILLIS, 3_000));
    }

    /**
     * Makes a configuration that has a name only.
     *
     * @return The configuration.
     */
    private static Configuration named() {
        return new Configuration(
                "target",
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                ControlTimes.standard());
    }

    /**
     * Makes a customer.
     *
     * @param number The number.
     * @param classNames The classes it may use.
     * @return The customer.
     */
    static Customer customer(int number, Set<String> classNames) {
        List<CustomerKey> keys = List.of(
                new CustomerKey("first", KeyDigest.of(key(number))),
                new CustomerKey("second", KeyDigest.of("cg-second-" + number)));
        return new Customer("customer-" + number, 1, keys, classNames);
    }

    /**
     * Returns the first key of a customer.
     *
     * @param number The number of the customer.
     * @return The key.
     */
    static String key(int number) {
        return "cg-first-" + number;
    }

    /**
     * Makes a backend server.
     *
     * @param number The number.
     * @return The backend server.
     */
    static BackendServer server(int number) {
        return new BackendServer(
                "engine-" + number,
                new NetworkAddress("10.0.0.1", FIRST_PORT + number),
                "centre-" + number % DATA_CENTRES,
                BackendKind.MODEL,
                Set.of("model-" + number % MODELS),
                Supply.REGULAR,
                SLOTS,
                true);
    }

    /**
     * Makes the report of a gateway.
     *
     * @param node The number of the gateway.
     * @param servers The number of backend servers with requests in flight.
     * @return The report.
     */
    static GatewayReport report(int node, int servers) {
        Map<String, Integer> inFlight = new HashMap<>();
        IntStream.range(0, servers).forEach(number -> inFlight.put("engine-" + number, 1 + number % 3));
        Map<String, Integer> waiting = new HashMap<>();
        IntStream.range(0, CLASSES).forEach(tier -> waiting.put("class-" + tier, tier));
        return new GatewayReport(
                "host-" + node + "/1796330000000-4242", "host-" + node, 12_345, 67_890, 40, inFlight, waiting, false);
    }

    /**
     * Makes a reservation.
     *
     * @param number The number, which makes it unique.
     * @return The reservation.
     */
    static LogRecord reservation(long number) {
        return new LogRecord.Reservation(
                reservationId(number),
                "customer-" + number % 670,
                "/ledger/bookings",
                KeyDigest.of("key-" + number).hexadecimal(),
                KeyDigest.of("body-" + number).hexadecimal(),
                "host-" + number % 330 + "/1796330000000-4242",
                1_796_330_000_000L + number);
    }

    /**
     * Makes the outcome of a reservation.
     *
     * @param number The number of the reservation.
     * @return The outcome, with a small answer.
     */
    static LogRecord outcome(long number) {
        return new LogRecord.ReservationOutcome(
                reservationId(number),
                LogRecord.Disposition.ANSWERED,
                201,
                "application/json",
                "{\"booking\":" + number + ",\"state\":\"accepted\"}",
                true);
    }

    /**
     * Makes a usage delta.
     *
     * @param gateway The number of the gateway.
     * @param sequence The sequence number.
     * @param keys The number of pairs of customer and class in it.
     * @return The delta.
     */
    static LogRecord.UsageDelta usage(int gateway, long sequence, int keys) {
        Map<UsageKey, UsageFigures> totals = new HashMap<>();
        for (int number = 0; number < keys; number++) {
            UsageKey key = new UsageKey("customer-" + number / CLASSES, "class-" + number % CLASSES);
            totals.put(key, new UsageFigures(sequence, sequence * 900, sequence * 210));
        }
        return new LogRecord.UsageDelta("host-" + gateway + "/1796330000000-4242", sequence, totals);
    }

    /**
     * Makes several records.
     *
     * @param first The first number.
     * @param count The number of records.
     * @param kind Makes a record of a number.
     * @return The records.
     */
    static List<LogRecord> records(long first, int count, LongFunction<LogRecord> kind) {
        List<LogRecord> records = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            records.add(kind.apply(first + index));
        }
        return records;
    }

    /**
     * Returns the identifier of a reservation.
     *
     * @param number The number.
     * @return The identifier.
     */
    private static String reservationId(long number) {
        return "host-" + number % 330 + "/1796330000000-4242/" + number;
    }

    /**
     * Makes a data centre.
     *
     * @param number The number.
     * @return The data centre.
     */
    private static DataCentre dataCentre(int number) {
        return new DataCentre("centre-" + number, number < DATA_CENTRES / 2 ? "region-west" : "region-east");
    }

    /**
     * Counts from 0.
     *
     * @param count The number of numbers.
     * @return The numbers.
     */
    private static Stream<Integer> range(int count) {
        return IntStream.range(0, count).boxed();
    }
}
