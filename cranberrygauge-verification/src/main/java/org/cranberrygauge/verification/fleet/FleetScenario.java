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
 * A day of demand and evictions, made by seed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param deployment The name of the deployment.
 * @param name The name of the scenario.
 * @param configuration The classes and pools.
 * @param demand The output tokens that each class is asked for, by second and class.
 * @param evictions The evictions of cheap backend servers.
 * @param parameters What planners reckon with; the stand-in servers behave as they state.
 */
public record FleetScenario(
        String deployment,
        String name,
        Configuration configuration,
        double[][] demand,
        List<Eviction> evictions,
        FleetParameters parameters) {

    /** The number of seconds in a scenario. */
    public static final int SECONDS = 24 * 3_600;

    /** The model. */
    private static final String MODEL = "model";

    /** The second at which the burst begins. */
    private static final int BURST_START = 13 * 3_600;

    /** The length of the burst in seconds. */
    private static final int BURST_SECONDS = 1_800;

    /** The time over which the burst grows in seconds. */
    private static final int BURST_RISE_SECONDS = 300;

    /** The demand in the burst as a multiple. */
    private static final double BURST_FACTOR = 3;

    /** The second at which the data centre is evicted. */
    private static final int EVICTION_START = 12 * 3_600;

    /** The time for which its cheap servers are not to be had in seconds. */
    private static final int EVICTION_SECONDS = 2 * 3_600;

    /** The part of the noise that is left after a second. */
    private static final double NOISE_MEMORY = 0.98;

    /** The noise that each second adds. */
    private static final double NOISE = 0.02;

    /** The kinds of scenarios. */
    public enum Kind {
        /** Demand that follows the hours of the day. */
        QUIET,
        /** The first class asks for three times as much for half an hour. */
        BURST,
        /** All cheap servers of one data centre vanish at noon and are not to be had for two hours. */
        EVICTION
    }

    /**
     * Makes a scenario of Skillingbrønd.
     *
     * @param kind The kind.
     * @param seed The seed.
     * @return The scenario.
     */
    public static FleetScenario skillingbrond(Kind kind, long seed) {
        List<ServiceClass> classes = List.of(
                serviceClass("field-crew-chat", 1, 0.3, 1_400, 5_000),
                serviceClass("curator-summary", 2, 0.2, 4_000, 20_000),
                serviceClass("overnight-study", 3, 0.1, 60_000, 600_000));
        double[] peaks = {1_100, 500, 0};
        double[] nights = {100, 30, 900};
        return build("skillingbrond", kind, seed, classes, new double[][] {peaks, nights}, pools("dk-east", 3, 4));
    }

    /**
     * Makes a scenario of the consortium.
     *
     * @param kind The kind.
     * @param seed The seed.
     * @return The scenario.
     */
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
     * Builds a scenario.
     *
     * @param deployment The name of the deployment.
     * @param kind The kind.
     * @param seed The seed.
     * @param classes The classes, the highest tier first.
     * @param rates The rates of each class by day and by night in tokens a second.
     * @param pools The pools.
     * @return The scenario.
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
                noise[index] = NOISE_MEMORY * noise[index] + NOISE * random.nextGaussian();
                double rate = rates[1][index] + (rates[0][index] - rates[1][index]) * day;
                double factor = kind == Kind.BURST && index == 0 ? burst(second) : 1;
                demand[second][index] = Math.max(0, rate * factor * (1 + noise[index]));
            }
        }
        List<Eviction> evictions = kind == Kind.EVICTION
                ? List.of(new Eviction(pools.get(0).dataCentre(), EVICTION_START, EVICTION_START + EVICTION_SECONDS))
                : List.of();
        Configuration configuration = Configuration.empty().withClasses(classes).withFleet(pools);
        FleetParameters parameters = new FleetParameters(200, 0.8, 60_000, 20_000, 300_000);
        return new FleetScenario(
                deployment, kind.name().toLowerCase(Locale.ROOT), configuration, demand, evictions, parameters);
    }

    /**
     * Returns the factor of the burst.
     *
     * @param second The second of the day.
     * @return The factor.
     */
    private static double burst(int second) {
        int since = second - BURST_START;
        if (since < 0 || since > BURST_SECONDS) {
            return 1;
        }
        return 1 + (BURST_FACTOR - 1) * Math.min(1, (double) since / BURST_RISE_SECONDS);
    }

    /**
     * Builds the pools of three data centres.
     *
     * @param region The region.
     * @param regular The greatest number of regular servers in a data centre.
     * @param cheap The greatest number of cheap servers in a data centre.
     * @return The pools.
     */
    private static List<FleetPool> pools(String region, int regular, int cheap) {
        List<FleetPool> pools = new ArrayList<>();
        for (String suffix : List.of("-a", "-b", "-c")) {
            pools.add(new FleetPool(region + suffix, MODEL, Supply.CHEAP, 0, cheap, 1));
            pools.add(new FleetPool(region + suffix, MODEL, Supply.REGULAR, 1, regular, 3));
        }
        return pools;
    }

    /**
     * Builds a class.
     *
     * @param name The name.
     * @param tier The tier.
     * @param share The guaranteed share.
     * @param targetMillis The target for the first token in milliseconds.
     * @param waitMillis The longest wait in milliseconds.
     * @return The class.
     */
    private static ServiceClass serviceClass(String name, int tier, double share, long targetMillis, long waitMillis) {
        return new ServiceClass(name, tier, share, targetMillis, 50, waitMillis, 1_000);
    }

    /**
     * An eviction of the cheap servers of a data centre.
     *
     * @param dataCentre The name of the data centre.
     * @param fromSecond The second at which they vanish.
     * @param toSecond The second from which they are to be had again.
     */
    public record Eviction(String dataCentre, int fromSecond, int toSecond) {

        /**
         * Tells whether the eviction lasts.
         *
         * @param second The second of the day.
         * @return Whether it lasts.
         */
        public boolean lastsAt(int second) {
            return second >= fromSecond && second < toSecond;
        }
    }
}
