package org.cranberrygauge.proxy;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.CallerLimits;
import org.cranberrygauge.proxy.configuration.EngineLimits;
import org.cranberrygauge.proxy.configuration.KeyOwner;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.configuration.Route;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.cranberrygauge.proxy.configuration.WeightedPool;
import org.cranberrygauge.proxy.routing.Prompt;
import org.cranberrygauge.proxy.routing.PromptPart;

/** Values that several tests use. */
public final class ProxyFixtures {

    /** A pool of engines. */
    public static final Pool ENGINES =
            new Pool("engines", Optional.of(new EngineLimits(64, 500_000)), Optional.empty(), 0);

    /** A pool of a plain service. */
    public static final Pool LEDGER = new Pool("ledger", Optional.empty(), Optional.empty(), 0);

    private ProxyFixtures() {}

    public static Backend backend(String id) {
        return backend(id, "engines", "east-a", false, Supply.REGULAR);
    }

    public static Backend backend(String id, String pool, String dataCentre, boolean leaving, Supply supply) {
        return new Backend(id, 1, pool, new NetworkAddress("127.0.0.1", 1), dataCentre, "v1", 64, leaving, supply, 0);
    }

    public static Route route(RouteKind kind, int attempts) {
        return route("/work/", kind, attempts, false);
    }

    public static Route route(String prefix, RouteKind kind, int attempts, boolean open) {
        return new Route(
                "route" + prefix,
                "api.example",
                prefix,
                kind,
                2_000,
                500,
                1,
                List.of(new WeightedPool("engines", 1)),
                attempts,
                open,
                Set.of());
    }

    public static ProxyConfiguration configuration(long version, Route... routes) {
        return new ProxyConfiguration(
                version,
                List.of(routes),
                Map.of("engines", ENGINES, "ledger", LEDGER),
                new CallerLimits(1_000, 15_000, 3_000),
                Map.of("key-1", new KeyOwner("customer-1", OptionalInt.of(0), Set.of())),
                true);
    }

    public static Prompt longPrompt(String document) {
        return new Prompt(
                17_000,
                120,
                List.of(
                        new PromptPart(document, 13_300),
                        new PromptPart("own-" + System.identityHashCode(document), 3_700)));
    }

    public static Prompt shortPrompt(String session) {
        return new Prompt(
                1_400,
                170,
                List.of(new PromptPart("rules", 210), new PromptPart(session, 140), new PromptPart("own", 1_050)));
    }
}
