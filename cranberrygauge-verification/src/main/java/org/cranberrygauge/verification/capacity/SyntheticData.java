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

/** Generates configurations, reports and records of a given size for the measurements. */
final class SyntheticData {

    /** The number of classes, each with a tier of its own. */
    static final int CLASSES = 8;

    static final int MODELS = 7;

    static final int DATA_CENTRES = 7;

    /** The port of the first backend server. */
    private static final int FIRST_PORT = 20_000;

    /** The slots of a backend server. */
    private static final int SLOTS = 64;

    private static final long RETENTION_MILLIS = 86_400_000;

    /** The guaranteed share of each class. */
    private static final double SHARE = 0.1;

    private SyntheticData() {}

    /** Generates a valid configuration; each customer has two keys. */
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

    static Customer customer(int number, Set<String> classNames) {
        List<CustomerKey> keys = List.of(
                new CustomerKey("first", KeyDigest.of(key(number))),
                new CustomerKey("second", KeyDigest.of("cg-second-" + number)));
        return new Customer("customer-" + number, 1, keys, classNames);
    }

    /** Returns the first key of a customer. */
    static String key(int number) {
        return "cg-first-" + number;
    }

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

    static GatewayReport report(int node, int servers) {
        Map<String, Integer> inFlight = new HashMap<>();
        IntStream.range(0, servers).forEach(number -> inFlight.put("engine-" + number, 1 + number % 3));
        Map<String, Integer> waiting = new HashMap<>();
        IntStream.range(0, CLASSES).forEach(tier -> waiting.put("class-" + tier, tier));
        return new GatewayReport(
                "host-" + node + "/1796330000000-4242", "host-" + node, 12_345, 67_890, 40, inFlight, waiting, false);
    }

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

    static LogRecord outcome(long number) {
        return new LogRecord.ReservationOutcome(
                reservationId(number),
                LogRecord.Disposition.ANSWERED,
                201,
                "application/json",
                "{\"booking\":" + number + ",\"state\":\"accepted\"}",
                true);
    }

    /** Generates the usage of a gateway with the given number of pairs of customer and class. */
    static LogRecord.UsageDelta usage(int gateway, long sequence, int keys) {
        Map<UsageKey, UsageFigures> totals = new HashMap<>();
        for (int number = 0; number < keys; number++) {
            UsageKey key = new UsageKey("customer-" + number / CLASSES, "class-" + number % CLASSES);
            totals.put(key, new UsageFigures(sequence, sequence * 900, sequence * 210));
        }
        return new LogRecord.UsageDelta("host-" + gateway + "/1796330000000-4242", sequence, totals);
    }

    static List<LogRecord> records(long first, int count, LongFunction<LogRecord> kind) {
        List<LogRecord> records = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            records.add(kind.apply(first + index));
        }
        return records;
    }

    private static String reservationId(long number) {
        return "host-" + number % 330 + "/1796330000000-4242/" + number;
    }

    private static DataCentre dataCentre(int number) {
        return new DataCentre("centre-" + number, number < DATA_CENTRES / 2 ? "region-west" : "region-east");
    }

    private static Stream<Integer> range(int count) {
        return IntStream.range(0, count).boxed();
    }
}
