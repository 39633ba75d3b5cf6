package org.cranberrygauge.verification.benchmark;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * Callers that each send one streamed completion after the other.
 *
 * <p>Safe for use by several threads.
 */
final class LoadCallers {

    /** The longest time that is recorded in microseconds. */
    private static final long LONGEST_MICROS = TimeUnit.SECONDS.toMicros(60);

    /** The digits of recorded times. */
    private static final int DIGITS = 3;

    /** The status of a successful answer. */
    private static final int OK = 200;

    /** The client. */
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** The addresses, used in turn. */
    private final List<NetworkAddress> addresses;

    /** The key. */
    private final String key;

    /** The body of each request. */
    private final String body;

    /** The number of requests so far. */
    private final AtomicInteger sent = new AtomicInteger();

    /**
     * Creates callers.
     *
     * @param addresses The addresses, used in turn.
     * @param key The key.
     * @param model The model.
     * @param outputTokens The tokens of an answer.
     */
    LoadCallers(List<NetworkAddress> addresses, String key, String model, int outputTokens) {
        this.addresses = List.copyOf(addresses);
        this.key = key;
        body = "{\"model\":\"" + model + "\",\"stream\":true,\"max_tokens\":" + outputTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"What lies in the fountain?\"}]}";
    }

    /**
     * Calls for a while.
     *
     * @param concurrency The requests in flight.
     * @param seconds The length in seconds.
     * @return What was measured.
     * @throws InterruptedException If it is interrupted.
     * @throws ExecutionException If a caller fails.
     */
    Outcome run(int concurrency, int seconds) throws InterruptedException, ExecutionException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        ExecutorService threads = Executors.newFixedThreadPool(concurrency);
        try {
            List<Future<Outcome>> callers = new ArrayList<>();
            for (int caller = 0; caller < concurrency; caller++) {
                callers.add(threads.submit(() -> callUntil(untilNanos)));
            }
            Outcome total = Outcome.empty();
            for (Future<Outcome> caller : callers) {
                total = total.plus(caller.get());
            }
            return total;
        } finally {
            threads.shutdown();
        }
    }

    /**
     * Calls again and again.
     *
     * @param untilNanos The time at which to stop in nanoseconds.
     * @return What was measured.
     * @throws InterruptedException If it is interrupted.
     */
    private Outcome callUntil(long untilNanos) throws InterruptedException {
        Histogram firstToken = new Histogram(LONGEST_MICROS, DIGITS);
        long failed = 0;
        while (System.nanoTime() < untilNanos) {
            try {
                long micros = call();
                if (micros < 0) {
                    failed++;
                } else {
                    firstToken.recordValue(Math.min(LONGEST_MICROS, micros));
                }
            } catch (IOException exception) {
                failed++;
            }
        }
        return new Outcome(firstToken, failed);
    }

    /**
     * Calls once.
     *
     * @return The time to the first token in microseconds; negative if the call failed.
     * @throws IOException If the connection fails.
     * @throws InterruptedException If it is interrupted.
     */
    private long call() throws IOException, InterruptedException {
        NetworkAddress address = addresses.get(Math.floorMod(sent.getAndIncrement(), addresses.size()));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/chat/completions"))
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        long startNanos = System.nanoTime();
        HttpResponse<InputStream> response = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
        long firstNanos = 0;
        boolean whole = false;
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (firstNanos == 0 && line.contains("\"content\"")) {
                    firstNanos = System.nanoTime();
                }
                whole |= line.equals("data: [DONE]");
            }
        }
        if (response.statusCode() != OK || !whole || firstNanos == 0) {
            return -1;
        }
        return TimeUnit.NANOSECONDS.toMicros(firstNanos - startNanos);
    }

    /**
     * What was measured.
     *
     * @param firstToken The times to the first token in microseconds.
     * @param failed The calls without a whole answer.
     */
    record Outcome(Histogram firstToken, long failed) {

        /**
         * Returns nothing measured.
         *
         * @return The empty outcome.
         */
        static Outcome empty() {
            return new Outcome(new Histogram(LONGEST_MICROS, DIGITS), 0);
        }

        /**
         * Adds another outcome.
         *
         * @param other The other.
         * @return The sum.
         */
        Outcome plus(Outcome other) {
            Histogram sum = firstToken.copy();
            sum.add(other.firstToken);
            return new Outcome(sum, failed + other.failed);
        }

        /**
         * Returns the calls with a whole answer.
         *
         * @return The number.
         */
        long answered() {
            return firstToken.getTotalCount();
        }
    }
}
