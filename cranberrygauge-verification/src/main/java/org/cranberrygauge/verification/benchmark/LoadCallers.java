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
 * Callers that each send streamed completion requests, one after the other.
 *
 * <p>Safe for use by several threads.
 */
final class LoadCallers {

    /** The longest recordable time; longer ones are recorded as this. */
    private static final long MAXIMUM_MICROS = TimeUnit.SECONDS.toMicros(60);

    /** The number of significant digits of recorded times. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The HTTP status of a successful response. */
    private static final int STATUS_OK = 200;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** The target addresses, used in turn. */
    private final List<NetworkAddress> addresses;

    private final String key;

    private final String body;

    private final AtomicInteger sent = new AtomicInteger();

    LoadCallers(List<NetworkAddress> addresses, String key, String model, int outputTokens) {
        this.addresses = List.copyOf(addresses);
        this.key = key;
        body = "{\"model\":\"" + model + "\",\"stream\":true,\"max_tokens\":" + outputTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"What lies in the fountain?\"}]}";
    }

    /** Sends requests for the given time with the given number in flight. */
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

    /** Sends requests until a time. */
    private Outcome callUntil(long untilNanos) throws InterruptedException {
        Histogram firstToken = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
        long failed = 0;
        while (System.nanoTime() < untilNanos) {
            try {
                long micros = call();
                if (micros < 0) {
                    failed++;
                } else {
                    firstToken.recordValue(Math.min(MAXIMUM_MICROS, micros));
                }
            } catch (IOException exception) {
                failed++;
            }
        }
        return new Outcome(firstToken, failed);
    }

    /** Sends one request and returns the time to the first token in microseconds; negative if the request failed. */
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
        boolean complete = false;
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (firstNanos == 0 && line.contains("\"content\"")) {
                    firstNanos = System.nanoTime();
                }
                complete |= line.equals("data: [DONE]");
            }
        }
        if (response.statusCode() != STATUS_OK || !complete || firstNanos == 0) {
            return -1;
        }
        return TimeUnit.NANOSECONDS.toMicros(firstNanos - startNanos);
    }

    /**
     * The result of a run.
     *
     * @param firstToken The times to the first token in microseconds.
     * @param failed The number of requests without a complete answer.
     */
    record Outcome(Histogram firstToken, long failed) {

        static Outcome empty() {
            return new Outcome(new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS), 0);
        }

        Outcome plus(Outcome other) {
            Histogram sum = firstToken.copy();
            sum.add(other.firstToken);
            return new Outcome(sum, failed + other.failed);
        }

        /** Returns the number of requests with a complete answer. */
        long answered() {
            return firstToken.getTotalCount();
        }
    }
}
