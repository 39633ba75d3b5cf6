package org.cranberrygauge.verification.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.cranberrygauge.decision.reservation.Reservations;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.decision.usage.UsageLedger;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.protocol.log.LogCodec;

/**
 * Measures the reading of log entries and the state that follows from them.
 *
 * <p>Used by one thread.
 */
final class LogBenchmark {

    /** The numbers of records in an entry. */
    private static final int[] BATCHES = {1, 4, 16, 64, 256};

    /** The number of entries that one run applies. */
    private static final int ENTRIES = 40;

    /** The numbers of reservations kept. */
    private static final int[] RESERVATIONS = {5_000, 10_000, 20_000, 50_000, 100_000};

    /** The numbers of gateways whose usage is kept. */
    private static final int[] GATEWAYS = {4, 8, 16, 32, 64};

    /** The pairs of customer and class that each gateway counted. */
    private static final int PAIRS = 500;

    /** The length of the lease that a claim states in milliseconds. */
    private static final long LEASE_MILLIS = 6_000;

    /** The meter. */
    private final Meter meter;

    /**
     * Creates the measures.
     *
     * @param meter The meter.
     */
    LogBenchmark(Meter meter) {
        this.meter = meter;
    }

    /**
     * Measures all.
     *
     * @return The slopes.
     * @throws CranberrygaugeException If an entry can't be read.
     */
    List<Slope> measure() throws CranberrygaugeException {
        List<Slope> slopes = new ArrayList<>();
        record("reservation", SyntheticData::reservation, slopes);
        record("reservation outcome", SyntheticData::outcome, slopes);
        record("lease claim", LogBenchmark::claim, slopes);
        record("order intent", LogBenchmark::intent, slopes);
        record("gateway join", LogBenchmark::join, slopes);
        usage(slopes);
        memory(slopes);
        return slopes;
    }

    /**
     * Measures entries with records of one type.
     *
     * @param type The type.
     * @param kind Makes a record.
     * @param slopes Takes the slopes.
     * @throws CranberrygaugeException If an entry can't be read.
     */
    private void record(String type, LongFunction<LogRecord> kind, List<Slope> slopes) throws CranberrygaugeException {
        List<Sample> bytes = new ArrayList<>();
        List<Sample> micros = new ArrayList<>();
        for (int batch : BATCHES) {
            List<String> payloads = new ArrayList<>();
            for (int entry = 0; entry < ENTRIES; entry++) {
                List<LogRecord> records = SyntheticData.records((long) entry * batch, batch, kind);
                payloads.add(LogCodec.write(new LogEntry("host-1/1796330000000-4242", entry + 1, records)));
            }
            bytes.add(new Sample(batch, length(payloads.get(ENTRIES - 1))));
            micros.add(new Sample(batch, meter.micros(() -> follow(payloads)) / ENTRIES));
        }
        slopes.add(Slope.of("log bytes: " + type, "records in an entry", "bytes", bytes));
        slopes.add(Slope.of("log read and apply: " + type, "records in an entry", "microseconds", micros));
    }

    /**
     * Measures entries with one usage delta.
     *
     * @param slopes Takes the slopes.
     * @throws CranberrygaugeException If an entry can't be read.
     */
    private void usage(List<Slope> slopes) throws CranberrygaugeException {
        List<Sample> bytes = new ArrayList<>();
        List<Sample> micros = new ArrayList<>();
        for (int pairs : new int[] {8, 64, 256, 1_024, 5_360}) {
            List<String> payloads = new ArrayList<>();
            for (int entry = 0; entry < ENTRIES; entry++) {
                List<LogRecord> records = List.of(SyntheticData.usage(1, entry + 1, pairs));
                payloads.add(LogCodec.write(new LogEntry("host-1/1796330000000-4242", entry + 1, records)));
            }
            bytes.add(new Sample(pairs, length(payloads.get(ENTRIES - 1))));
            micros.add(new Sample(pairs, meter.micros(() -> follow(payloads)) / ENTRIES));
        }
        slopes.add(Slope.of("log bytes: usage delta", "pairs of customer and class", "bytes", bytes));
        slopes.add(Slope.of("log read and apply: usage delta", "pairs of customer and class", "microseconds", micros));
    }

    /**
     * Measures the memory of reservations and usage.
     *
     * @param slopes Takes the slopes.
     */
    private void memory(List<Slope> slopes) {
        List<Sample> reservations = new ArrayList<>();
        for (int count : RESERVATIONS) {
            reservations.add(new Sample(count, meter.bytes(LogBenchmark::reservations, count)));
        }
        slopes.add(Slope.of("memory: reservations", "reservations kept", "bytes", reservations));
        List<Sample> usage = new ArrayList<>();
        for (int count : GATEWAYS) {
            usage.add(new Sample((double) count * PAIRS, meter.bytes(LogBenchmark::ledger, count)));
        }
        slopes.add(Slope.of("memory: usage ledger", "gateways times pairs", "bytes", usage));
    }

    /**
     * Follows a log from its start.
     *
     * @param payloads The entries.
     * @return The state.
     */
    private static LogState follow(List<String> payloads) {
        LogState state = new LogState();
        try {
            for (int index = 0; index < payloads.size(); index++) {
                state.apply(index + 1L, 1_796_330_000_000L + index, LogCodec.read(payloads.get(index)));
            }
        } catch (CranberrygaugeException exception) {
            throw new IllegalStateException("entries were written by the codec", exception);
        }
        return state;
    }

    /**
     * Builds a table of reservations with outcomes.
     *
     * @param count The number.
     * @return The table.
     */
    private static Object reservations(int count) {
        Reservations reservations = new Reservations();
        for (int number = 0; number < count; number++) {
            reservations.reserve(number + 1L, number, (LogRecord.Reservation) SyntheticData.reservation(number));
            reservations.record((LogRecord.ReservationOutcome) SyntheticData.outcome(number));
        }
        return reservations;
    }

    /**
     * Builds a ledger of usage.
     *
     * @param gateways The number of gateways.
     * @return The ledger.
     */
    private static Object ledger(int gateways) {
        UsageLedger ledger = new UsageLedger();
        for (int gateway = 0; gateway < gateways; gateway++) {
            ledger.apply(gateway, SyntheticData.usage(gateway, 1, PAIRS));
        }
        return ledger;
    }

    /**
     * Makes a claim of the lease.
     *
     * @param number The number.
     * @return The record.
     */
    private static LogRecord claim(long number) {
        return new LogRecord.LeaseClaim("host-1/1796330000000-4242", "host-1", number, LEASE_MILLIS);
    }

    /**
     * Makes the intent of an order.
     *
     * @param number The number.
     * @return The record.
     */
    private static LogRecord intent(long number) {
        return new LogRecord.OrderIntent(
                "order-" + number, "host-1/1796330000000-4242", 0, "centre-1/model-0/cheap", 3, "demand");
    }

    /**
     * Makes the join of a gateway.
     *
     * @param number The number.
     * @return The record.
     */
    private static LogRecord join(long number) {
        long host = number % 330;
        return new LogRecord.GatewayJoined(
                "host-" + host + "/" + number, "host-" + host, "centre-" + host % 7, "10.0.0.1:2000");
    }

    /**
     * Returns the size of a text.
     *
     * @param text The text.
     * @return The size in bytes.
     */
    static int length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
