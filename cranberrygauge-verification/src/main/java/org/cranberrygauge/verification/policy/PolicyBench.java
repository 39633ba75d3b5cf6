package org.cranberrygauge.verification.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cranberrygauge.emulator.replay.ProfileGenerator;
import org.cranberrygauge.emulator.replay.Trace;
import org.cranberrygauge.emulator.replay.TraceProfile;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * Simulates each trace with our policy, each baseline and each ablation, and writes the page of measurements.
 *
 * <p>Run once, by one thread; simulations run on several threads and share no state.
 */
public final class PolicyBench {

    private static final long SEED = 1;

    /** The number of simulations that run concurrently. */
    private static final int THREADS = 3;

    private static final List<String> DEPLOYMENTS = List.of("skillingbrond", "kartuli");

    private PolicyBench() {}

    /**
     * Runs the benchmark and exits with status 1 if our policy misses an acceptance criterion.
     *
     * @param arguments The root of the repository, optionally followed by --ours, which prints only our policy's
     *     results and leaves the page as it is.
     * @throws CranberrygaugeException If an example can't be read or is invalid.
     * @throws IOException If the page can't be written.
     * @throws InterruptedException If the benchmark is interrupted.
     * @throws ExecutionException If a simulation fails.
     */
    public static void main(String[] arguments)
            throws CranberrygaugeException, IOException, InterruptedException, ExecutionException {
        Path root = Path.of(arguments[0]);
        boolean oursOnly = arguments.length > 1 && arguments[1].equals("--ours");
        List<PolicyVariant> variants = oursOnly ? List.of(PolicyVariant.OURS) : PolicyVariant.all();
        List<PolicyRun> runs = new ArrayList<>();
        for (String deployment : DEPLOYMENTS) {
            Configuration configuration =
                    ExampleDeployments.read(root.resolve("examples").resolve(deployment + ".yaml"));
            runs.addAll(replay(configuration, variants, SEED));
        }
        print(runs);
        if (!oursOnly) {
            Path page = root.resolve("docs").resolve("MEASUREMENTS.md");
            Files.writeString(page, MeasurementPage.render(runs, SEED));
            PolicyPlots.write(root.resolve("docs").resolve("plots"), runs);
        }
        boolean missed = runs.stream()
                .anyMatch(run -> run.isOurs() && !run.unmetCriteria().isEmpty());
        System.out.println(missed ? "policy: some stated outcomes are missed" : "policy: all stated outcomes hold");
        System.exit(missed ? 1 : 0);
    }

    /** Simulates all trace profiles with each variant; the result is ordered by profile, then by variant. */
    static List<PolicyRun> replay(Configuration configuration, List<PolicyVariant> variants, long seed)
            throws InterruptedException, ExecutionException {
        ProfileGenerator generator = new ProfileGenerator(configuration);
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<PolicyRun>> pending = new ArrayList<>();
            for (TraceProfile profile : TraceProfile.values()) {
                Trace trace = generator.generate(profile, seed);
                for (PolicyVariant variant : variants) {
                    pending.add(threads.submit(() -> run(configuration, generator, trace, variant)));
                }
            }
            List<PolicyRun> runs = new ArrayList<>();
            for (Future<PolicyRun> run : pending) {
                runs.add(run.get());
            }
            return runs;
        } finally {
            threads.shutdown();
        }
    }

    private static PolicyRun run(
            Configuration configuration, ProfileGenerator generator, Trace trace, PolicyVariant variant) {
        ReplayResult result = new ReplaySimulation(configuration, trace, variant).run();
        List<String> chatClasses =
                generator.chatClasses().stream().map(ServiceClass::name).toList();
        return new PolicyRun(configuration.deployment(), trace.profile(), variant, chatClasses, result);
    }

    private static void print(List<PolicyRun> runs) {
        for (PolicyRun run : runs) {
            ReplayResult result = run.result();
            System.out.printf(
                    "%-13s %-20s %-26s high=%.3f all=%s worst=%s:%.3f share=%.2f good=%.0f wasted=%.4f read=%.3f cost=%.3f"
                            + " refused=%d failed=%d preempted=%d retried=%d shed=%d starve=%.2f%n",
                    run.deployment(),
                    run.profile().text(),
                    run.variant().name(),
                    run.highTier(),
                    run.attainments(),
                    result.worstCustomer(),
                    result.worstCustomerAttainment(),
                    result.worstFairShare(),
                    result.goodTokensPerSecond(),
                    result.wastedShare(),
                    result.prefilledShare(),
                    result.costPerThousandGood(),
                    result.refused(),
                    result.failed(),
                    result.preempted(),
                    result.retried(),
                    result.shedWhileLowerTierRan(),
                    result.worstStarvation());
            if (run.isOurs()) {
                run.unmetCriteria().forEach(criterion -> System.out.println("    missed: " + criterion));
            }
        }
    }
}
