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
 * The report of a replay, from the outcomes that callers saw and the counts of the emulators.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param executions The number of executions by call, as counted by the services.
 * @param credentials The Authorization headers that backend servers received.
 * @param keys The keys of the callers.
 * @param counted The usage by label, as counted by the engines.
 * @param reported The usage by label, as reported to the platform.
 */
record ReplayReport(
        Configuration configuration,
        List<ReplayOutcome> outcomes,
        Map<String, Integer> executions,
        List<String> credentials,
        List<String> keys,
        Map<String, UsageFigures> counted,
        Map<String, UsageFigures> reported) {

    private static final int OK = 200;

    /** The share of requests of a class that must meet its targets. */
    private static final double TARGET_ATTAINMENT = 0.95;

    private static final double PERCENTILE = 0.95;

    /**
     * Lists the expectations that do not hold: calls run at most once, refusals say truly that nothing was run, answers
     * are complete, callers' keys do not reach backend servers, usage is reported exactly, and classes meet their
     * targets.
     */
    List<String> failures() {
        List<String> failures = new ArrayList<>();
        executions.forEach((call, number) -> {
            if (number > 1) {
                failures.add("call " + call + " ran " + number + " times");
            }
        });
        for (ReplayOutcome outcome : outcomes) {
            boolean ran = executions.getOrDefault(outcome.request().callId(), 0) > 0;
            if (outcome.notRun() && ran) {
                failures.add("call " + outcome.request().callId() + " was refused as not run, but ran");
            }
            if (outcome.status() == OK && !outcome.whole()) {
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
            if (attainment(outcomesOf(serviceClass.name())) < TARGET_ATTAINMENT) {
                failures.add("class " + serviceClass.name() + " misses its target");
            }
        }
        return failures;
    }

    /** Formats the report as a table and totals. */
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
            List<ReplayOutcome> ofClass = outcomesOf(serviceClass.name());
            text.append(String.format(
                    Locale.ROOT,
                    "%-16s %4d %8d %9d %10.1f%% %12.1f %14.1f%n",
                    serviceClass.name(),
                    serviceClass.tier(),
                    ofClass.size(),
                    ofClass.stream().filter(ReplayOutcome::succeeded).count(),
                    100 * attainment(ofClass),
                    percentile(ofClass.stream()
                            .map(ReplayOutcome::firstTokenMillis)
                            .toList()),
                    percentile(ofClass.stream()
                            .map(ReplayOutcome::betweenTokensMillis)
                            .toList())));
        }
        appendWorstServedCustomer(text);
        long duplicates =
                executions.values().stream().filter(number -> number > 1).count();
        text.append("calls executed more than once: ").append(duplicates).append('\n');
        text.append("usage counted by engines: ").append(sum(counted)).append('\n');
        text.append("usage reported to the platform: ").append(sum(reported)).append('\n');
        return text.toString();
    }

    private void appendWorstServedCustomer(StringBuilder text) {
        Map<String, List<ReplayOutcome>> byCustomer = outcomes.stream()
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

    private List<ReplayOutcome> outcomesOf(String className) {
        return outcomes.stream()
                .filter(outcome -> outcome.request().className().equals(className))
                .toList();
    }

    /** Returns the share of requests that met the targets of their class; 1 if there are none. */
    private double attainment(List<ReplayOutcome> selected) {
        long met = selected.stream().filter(this::meetsTarget).count();
        return selected.isEmpty() ? 1 : (double) met / selected.size();
    }

    private boolean meetsTarget(ReplayOutcome outcome) {
        return configuration
                .serviceClass(outcome.request().className())
                .filter(serviceClass -> outcome.succeeded()
                        && outcome.firstTokenMillis() <= serviceClass.firstTokenTargetMillis()
                        && outcome.betweenTokensMillis() <= serviceClass.betweenTokensTargetMillis())
                .isPresent();
    }

    /** Returns the 95th percentile of the values that are not negative; 0 if there are none. */
    private static double percentile(List<Double> values) {
        List<Double> sorted =
                values.stream().filter(value -> value >= 0).sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * PERCENTILE));
    }

    private static UsageFigures sum(Map<String, UsageFigures> usage) {
        return usage.values().stream().reduce(UsageFigures.none(), UsageFigures::plus);
    }
}
