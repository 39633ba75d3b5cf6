package org.cranberrygauge.verification.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.cranberrygauge.decision.fleet.FleetParameters;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * A day of demand and evictions, generated from a seed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param configuration The classes and pools.
 * @param demand The output tokens requested, indexed by second and class.
 * @param evictions The evictions of cheap backend servers.
 * @param parameters What planners assume of backend servers; the simulated ones behave accordingly.
 */
public record FleetScenario(
        String deployment,
        String name,
        Configuration configuration,
        double[][] demand,
        List<Eviction> evictions,
        FleetParameters parameters) {

    /** The length of a scenario. */
    public static final int SECONDS = 24 * 3_600;

    private static final String MODEL = "model";

    /** The second of the day at which the burst begins. */
    private static final int BURST_START_SECOND = 13 * 3_600;

    private static final int BURST_SECONDS = 1_800;

    /** The time over which the burst rises to its full height. */
    private static final int BURST_RISE_SECONDS = 300;

    /** The demand at the height of the burst as a multiple of the usual one. */
    private static final double BURST_FACTOR = 3;

    /** The second of the day at which the data centre is evicted. */
    private static final int EVICTION_START_SECOND = 12 * 3_600;

    /** The time for which its cheap backend servers stay unavailable. */
    private static final int EVICTION_SECONDS = 2 * 3_600;

    /** The autocorrelation of the noise from one second to the next. */
    private static final double NOISE_CORRELATION = 0.98;

    /** The standard deviation of the change of the noise per second, relative to the demand. */
    private static final double NOISE_DEVIATION = 0.02;

    /** The events of the simulated day. */
    public enum Kind {
        /** Demand follows the time of day. */
        QUIET,
        /** The highest tier requests three times as much for half an hour. */
        BURST,
        /** All cheap backend servers of one data centre are evicted at noon and stay unavailable for two hours. */
        EVICTION
    }

    /** Generates a scenario of Skillingbrønd. */
    public static FleetScenario skillingbrond(Kind kind, long seed) {
        List<ServiceClass> classes = List.of(
                serviceClass("field-crew-chat", 1, 0.3, 1_400, 5_000),
                serviceClass("curator-summary", 2, 0.2, 4_000, 20_000),
                serviceClass("overnight-study", 3, 0.1, 60_000, 600_000));
        double[] peaks = {1_100, 500, 0};
        double[] nights = {100, 30, 900};
        return build("skillingbrond", kind, seed, classes, new double[][] {peaks, nights}, pools("dk-east", 3, 4));
    }

    /** Generates a scenario of the Kartuli consortium. */
    public static FleetScenario kartuli(Kind kind, long seed) {
        List<ServiceClass> classes = List.of(
                serviceClass("legend-draft", 1, 0.3, 1_400, 5_000),
                serviceClass("control-check", 2, 0.2, 4_000, 20_000),
                serviceClass("archive-check", 3, 0.1, 60_000, 600_000));
        double[] peaks = {1_500, 1_200, 300};
        double[] nights = {50, 50, 800};
        return build("kartuli", kind, seed, classes, new double[][] {peaks, nights}, pools("tbilisi", 4, 6));
    }

    /**
     * Generates a scenario; rates are the tokens per second of each class by day and by night, classes are highest
     * tier first.
     */
    private static FleetScenario build(
            String deployment,
            Kind kind,
            long seed,
            List<ServiceClass> classes,
            double[][] rates,
            List<FleetPool> pools) {
        Random random = new Random(seed);
        double[][] demand = new double[SECONDS][classes.size()];
        double[] noise = new double[classes.size()];
        for (int second = 0; second < SECONDS; second++) {
            double day = (1 - Math.cos(2 * Math.PI * second / SECONDS)) / 2;
            for (int index = 0; index < classes.size(); index++) {
                noise[index] = NOISE_CORRELATION * noise[index] + NOISE_DEVIATION * random.nextGaussian();
                double rate = rates[1][index] + (rates[0][index] - rates[1][index]) * day;
                double factor = kind == Kind.BURST && index == 0 ? burst(second) : 1;
                demand[second][index] = Math.max(0, rate * factor * (1 + noise[index]));
            }
        }
        List<Eviction> evictions = kind == Kind.EVICTION
                ? List.of(new Eviction(
                        pools.get(0).dataCentre(), EVICTION_START_SECOND, EVICTION_START_SECOND + EVICTION_SECONDS))
                : List.of();
        Configuration configuration = Configuration.empty().withClasses(classes).withFleet(pools);
        FleetParameters parameters = new FleetParameters(200, 0.8, 60_000, 20_000, 300_000);
        return new FleetScenario(
                deployment, kind.name().toLowerCase(Locale.ROOT), configuration, demand, evictions, parameters);
    }

    /** Returns the factor by which the burst multiplies demand in a second of the day. */
    private static double burst(int second) {
        int elapsed = second - BURST_START_SECOND;
        if (elapsed < 0 || elapsed > BURST_SECONDS) {
            return 1;
        }
        return 1 + (BURST_FACTOR - 1) * Math.min(1, (double) elapsed / BURST_RISE_SECONDS);
    }

    private static List<FleetPool> pools(String region, int regular, int cheap) {
        List<FleetPool> pools = new ArrayList<>();
        for (String suffix : List.of("-a", "-b", "-c")) {
            pools.add(new FleetPool(region + suffix, MODEL, Supply.CHEAP, 0, cheap, 1));
            pools.add(new FleetPool(region + suffix, MODEL, Supply.REGULAR, 1, regular, 3));
        }
        return pools;
    }

    private static ServiceClass serviceClass(String name, int tier, double share, long targetMillis, long waitMillis) {
        return new ServiceClass(name, tier, share, targetMillis, 50, waitMillis, 1_000);
    }

    /**
     * An eviction of the cheap backend servers of a data centre.
     *
     * @param fromSecond The second of the day at which it begins.
     * @param toSecond The second of the day from which backend servers are available again.
     */
    public record Eviction(String dataCentre, int fromSecond, int toSecond) {

        /** Tells whether the eviction is in progress in a second of the day. */
        public boolean isActiveAt(int second) {
            return second >= fromSecond && second < toSecond;
        }
    }
}
