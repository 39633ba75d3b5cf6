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
 * Measures the parsing of log entries and the state that follows from them.
 *
 * <p>Not thread-safe.
 */
final class LogBenchmark {

    /** The measured numbers of records per entry. */
    private static final int[] BATCHES = {1, 4, 16, 64, 256};

    /** The number of entries that one run applies. */
    private static final int ENTRIES = 40;

    /** The measured numbers of retained reservations. */
    private static final int[] RESERVATIONS = {5_000, 10_000, 20_000, 50_000, 100_000};

    /** The measured numbers of gateways whose usage is kept. */
    private static final int[] GATEWAYS = {4, 8, 16, 32, 64};

    /** The pairs of customer and class counted by each gateway. */
    private static final int PAIRS = 500;

    /** The duration of the lease in a claim. */
    private static final long LEASE_MILLIS = 6_000;

    private final Meter meter;

    LogBenchmark(Meter meter) {
        this.meter = meter;
    }

    List<Slope> measure() throws CranberrygaugeException {
        List<Slope> slopes = new ArrayList<>();
        measureRecords("reservation", SyntheticData::reservation, slopes);
        measureRecords("reservation outcome", SyntheticData::outcome, slopes);
        measureRecords("lease claim", LogBenchmark::claim, slopes);
        measureRecords("order intent", LogBenchmark::intent, slopes);
        measureRecords("gateway join", LogBenchmark::join, slopes);
        measureUsage(slopes);
        measureMemory(slopes);
        return slopes;
    }

    /** Measures entries with records of one type. */
    private void measureRecords(String type, LongFunction<LogRecord> kind, List<Slope> slopes)
            throws CranberrygaugeException {
        List<Sample> bytes = new ArrayList<>();
        List<Sample> micros = new ArrayList<>();
        for (int batch : BATCHES) {
            List<String> payloads = new ArrayList<>();
            for (int entry = 0; entry < ENTRIES; entry++) {
                List<LogRecord> records = SyntheticData.records((long) entry * batch, batch, kind);
                payloads.add(LogCodec.write(new LogEntry("host-1/1796330000000-4242", entry + 1, records)));
            }
            bytes.add(new Sample(batch, length(payloads.get(ENTRIES - 1))));
            micros.add(new Sample(batch, meter.micros(() -> applyToNewState(payloads)) / ENTRIES));
        }
        slopes.add(Slope.of("log bytes: " + type, "records in an entry", "bytes", bytes));
        slopes.add(Slope.of("log read and apply: " + type, "records in an entry", "microseconds", micros));
    }

    /** Measures entries with one usage delta. */
    private void measureUsage(List<Slope> slopes) throws CranberrygaugeException {
        List<Sample> bytes = new ArrayList<>();
        List<Sample> micros = new ArrayList<>();
        for (int pairs : new int[] {8, 64, 256, 1_024, 5_360}) {
            List<String> payloads = new ArrayList<>();
            for (int entry = 0; entry < ENTRIES; entry++) {
                List<LogRecord> records = List.of(SyntheticData.usage(1, entry + 1, pairs));
                payloads.add(LogCodec.write(new LogEntry("host-1/1796330000000-4242", entry + 1, records)));
            }
            bytes.add(new Sample(pairs, length(payloads.get(ENTRIES - 1))));
            micros.add(new Sample(pairs, meter.micros(() -> applyToNewState(payloads)) / ENTRIES));
        }
        slopes.add(Slope.of("log bytes: usage delta", "pairs of customer and class", "bytes", bytes));
        slopes.add(Slope.of("log read and apply: usage delta", "pairs of customer and class", "microseconds", micros));
    }

    /** Measures the memory of reservations and usage. */
    private void measureMemory(List<Slope> slopes) {
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

    /** Parses entries and applies them to a new state. */
    private static LogState applyToNewState(List<String> payloads) {
        LogState state = new LogState();
        try {
            for (int index = 0; index < payloads.size(); index++) {
                state.apply(index + 1L, 1_796_330_000_000L + index, LogCodec.read(payloads.get(index)));
            }
        } catch (CranberrygaugeException exception) {
            throw new IllegalStateException("entries written by the codec must be readable", exception);
        }
        return state;
    }

    /** Builds a state with reservations and their outcomes. */
    private static Object reservations(int count) {
        Reservations reservations = new Reservations();
        for (int number = 0; number < count; number++) {
            reservations.reserve(number + 1L, number, (LogRecord.Reservation) SyntheticData.reservation(number));
            reservations.record((LogRecord.ReservationOutcome) SyntheticData.outcome(number));
        }
        return reservations;
    }

    /** Builds a state with the usage of gateways. */
    private static Object ledger(int gateways) {
        UsageLedger ledger = new UsageLedger();
        for (int gateway = 0; gateway < gateways; gateway++) {
            ledger.apply(gateway, SyntheticData.usage(gateway, 1, PAIRS));
        }
        return ledger;
    }

    private static LogRecord claim(long number) {
        return new LogRecord.LeaseClaim("host-1/1796330000000-4242", "host-1", number, LEASE_MILLIS);
    }

    private static LogRecord intent(long number) {
        return new LogRecord.OrderIntent(
                "order-" + number, "host-1/1796330000000-4242", 0, "centre-1/model-0/cheap", 3, "demand");
    }

    private static LogRecord join(long number) {
        long host = number % 330;
        return new LogRecord.GatewayJoined(
                "host-" + host + "/" + number, "host-" + host, "centre-" + host % 7, "10.0.0.1:2000");
    }

    /** Returns the length of a text in UTF-8 bytes. */
    static int length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
