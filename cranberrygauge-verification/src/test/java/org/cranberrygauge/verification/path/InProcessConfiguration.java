package org.cranberrygauge.verification.path;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.DataCentre;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.ControlTimes;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.service.Repetition;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.model.service.ServiceRoute;

/** The configuration of an in-process deployment: two customers, two classes, one model, one ledger service. */
final class InProcessConfiguration {

    static final String MODEL = "amber-large";

    static final String KEY = "key-of-alpha-0123456789";

    static final String SPARE_KEY = "spare-key-of-alpha-0123456789";

    static final String OTHER_KEY = "key-of-beta-0123456789";

    private static final String DATA_CENTRE = "east-a";

    private InProcessConfiguration() {}

    static Configuration of(List<Integer> enginePorts, List<Integer> ledgerPorts, long longestWaitMillis) {
        List<BackendServer> servers = new ArrayList<>();
        enginePorts.forEach(port -> servers.add(server("engine-" + port, port, BackendKind.MODEL, MODEL)));
        ledgerPorts.forEach(port -> servers.add(server("ledger-" + port, port, BackendKind.SERVICE, "ledger")));
        Configuration empty = new Configuration(
                "bench",
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                ControlTimes.standard());
        return empty.withDataCentres(List.of(new DataCentre(DATA_CENTRE, "east")))
                .withClasses(List.of(
                        new ServiceClass("chat", 0, 0.2, 1_000, 100, longestWaitMillis, 100),
                        new ServiceClass("study", 1, 0.1, 5_000, 500, longestWaitMillis, 100)))
                .withCustomers(List.of(
                        new Customer(
                                "alpha",
                                1,
                                List.of(key("first", KEY), key("spare", SPARE_KEY)),
                                Set.of("chat", "study")),
                        new Customer("beta", 1, List.of(key("first", OTHER_KEY)), Set.of("chat"))))
                .withModels(List.of(MODEL))
                .withRoutes(
                        ledgerPorts.isEmpty()
                                ? List.of()
                                : List.of(
                                        route("/ledger/bookings", "POST", Repetition.AT_MOST_ONCE, false),
                                        route("/ledger/hauls", "GET", Repetition.IDEMPOTENT, false),
                                        route("/ledger/opening-hours", "GET", Repetition.IDEMPOTENT, true)))
                .withBackendServers(servers);
    }

    static Configuration withoutKey(Configuration configuration, String customer, String key) {
        Customer before = configuration.customer(customer).orElseThrow();
        List<CustomerKey> kept = before.keys().stream()
                .filter(candidate -> !candidate.digest().equals(KeyDigest.of(key)))
                .toList();
        return configuration.withCustomer(before.withKeys(kept));
    }

    private static CustomerKey key(String name, String key) {
        return new CustomerKey(name, KeyDigest.of(key));
    }

    private static ServiceRoute route(String prefix, String method, Repetition repetition, boolean open) {
        return new ServiceRoute(prefix, method, "ledger", "chat", repetition, open, false, "");
    }

    private static BackendServer server(String name, int port, BackendKind kind, String serves) {
        return new BackendServer(
                name,
                new NetworkAddress(InProcessDeployment.HOST, port),
                DATA_CENTRE,
                kind,
                Set.of(serves),
                Supply.REGULAR,
                8,
                true);
    }
}
