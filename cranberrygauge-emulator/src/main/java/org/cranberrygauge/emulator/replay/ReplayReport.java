package org.cranberrygauge.emulator.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The report of a replay, from what callers saw and what the stand-ins counted.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param configuration The configuration.
 * @param outcomes The outcomes.
 * @param executions The executions of calls as the plain services counted them.
 * @param credentials The credentials that backend servers saw.
 * @param keys The keys of the callers.
 * @param counted The usage by label as the engines counted it.
 * @param reported The usage by label as it was reported to the platform.
 */
record ReplayReport(
        Configuration configuration,
        List<Outcome> outcomes,
        Map<String, Integer> executions,
        List<String> credentials,
        List<String> keys,
        Map<String, UsageFigures> counted,
        Map<String, UsageFigures> reported) {

    /**
     * Finds what does not hold.
     *
     * @return The failures; empty if all holds.
     */
    List<String> failures() {
        List<String> failures = new ArrayList<>();
        executions.forEach((call, number) -> {
            if (number > 1) {
                failures.add("call " + call + " ran " + number + " times");
            }
        });
        for (Outcome outcome : outcomes) {
            boolean ran = executions.getOrDefault(outcome.request().callId(), 0) > 0;
            if (outcome.notRun() && ran) {
                failures.add("call " + outcome.request().callId() + " was refused as not run and ran");
            }
            if (outcome.status() == 200 && !outcome.whole()) {
                failures.add("request " + outcome.request().callId() + " got a broken answer: " + outcome.code());
            }
        }
        for (String key : keys) {
            if (credentials.stream().anyMatch(credential -> credential.contains(key))) {
                failures.add("a backend server saw a caller's key");
            }
        }
        if (!counted.equals(reported)) {
            failures.add("reported usage differs from the engines' count");
        }
        for (ServiceClass serviceClass : configuration.classes()) {
            if (attainment(outcomesOf(serviceClass.name())) < 0.95) {
                failures.add("class " + serviceClass.name() + " misses its target");
            }
        }
        return failures;
    }

    /**
     * Prints the report.
     *
     * @return The text.
     */
    String text() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "%-16s %4s %8s %9s %11s %12s %14s%n",
                "class",
                "tier",
                "requests",
                "succeeded",
                "attainment",
                "ttft_p95_ms",
                "between_p95_ms"));
        for (ServiceClass serviceClass : configuration.classes()) {
            List<Outcome> own = outcomesOf(serviceClass.name());
            text.append(String.format(
                    Locale.ROOT,
                    "%-16s %4d %8d %9d %10.1f%% %12.1f %14.1f%n",
                    serviceClass.name(),
                    serviceClass.tier(),
                    own.size(),
                    own.stream().filter(Outcome::succeeded).count(),
                    100 * attainment(own),
                    percentile(own.stream().map(Outcome::firstTokenMillis).toList()),
                    percentile(own.stream().map(Outcome::betweenTokensMillis).toList())));
        }
        appendWorst(text);
        long duplicates =
                executions.values().stream().filter(number -> number > 1).count();
        text.append("calls executed more than once: ").append(duplicates).append('\n');
        text.append("usage, engines' own count: ").append(sum(counted)).append('\n');
        text.append("usage, reported to the platform: ").append(sum(reported)).append('\n');
        return text.toString();
    }

    /**
     * Appends the worst-served customer.
     *
     * @param text The text.
     */
    private void appendWorst(StringBuilder text) {
        Map<String, List<Outcome>> byCustomer = outcomes.stream()
                .collect(Collectors.groupingBy(
                        outcome -> outcome.request().customer(), TreeMap::new, Collectors.toList()));
        byCustomer.entrySet().stream()
                .min(Comparator.comparingDouble(entry -> attainment(entry.getValue())))
                .ifPresent(worst -> text.append(String.format(
                        Locale.ROOT,
                        "worst-served customer: %s, attainment %.1f%% of %d requests%n",
                        worst.getKey(),
                        100 * attainment(worst.getValue()),
                        worst.getValue().size())));
    }

    /**
     * Returns the outcomes of a class.
     *
     * @param className The name of the class.
     * @return The outcomes.
     */
    private List<Outcome> outcomesOf(String className) {
        return outcomes.stream()
                .filter(outcome -> outcome.request().className().equals(className))
                .toList();
    }

    /**
     * Returns the share of requests that met the targets of their class.
     *
     * @param some The outcomes.
     * @return The share; 1 if there are none.
     */
    private double attainment(List<Outcome> some) {
        long met = some.stream().filter(this::meetsTarget).count();
        return some.isEmpty() ? 1 : (double) met / some.size();
    }

    /**
     * Tells whether a request met the targets of its class.
     *
     * @param outcome The outcome.
     * @return Whether it did.
     */
    private boolean meetsTarget(Outcome outcome) {
        return configuration
                .serviceClass(outcome.request().className())
                .filter(serviceClass -> outcome.succeeded()
                        && outcome.firstTokenMillis() <= serviceClass.firstTokenTargetMillis()
                        && outcome.betweenTokensMillis() <= serviceClass.betweenTokensTargetMillis())
                .isPresent();
    }

    /**
     * Returns the 95th percentile of the values that are not negative.
     *
     * @param values The values.
     * @return The percentile; 0 if there are none.
     */
    private static double percentile(List<Double> values) {
        List<Double> sorted =
                values.stream().filter(value -> value >= 0).sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * 0.95));
    }

    /**
     * Adds usage up.
     *
     * @param usage The usage by label.
     * @return The sum.
     */
    private static UsageFigures sum(Map<String, UsageFigures> usage) {
        return usage.values().stream().reduce(UsageFigures.none(), UsageFigures::plus);
    }
}
