package org.cranberrygauge.operator.questionnaire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.decision.configuration.ConfigurationProblem;
import org.cranberrygauge.decision.configuration.ConfigurationValidator;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.DataCentre;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.CleaningWindow;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.service.Repetition;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.model.service.ServiceRoute;

/**
 * Generates a configuration from the answers to a questionnaire.
 *
 * <p>Invariants: customers that already exist keep their keys; each new customer gets one key, which is available in
 * plain text only from this generator. Used by one thread.
 */
public final class ConfigurationGenerator {

    /** The name of a customer's first key. */
    private static final String FIRST_KEY = "first";

    private final KeySource keySource;

    /** New keys in plain text, by customer. */
    private final Map<String, String> newKeys = new LinkedHashMap<>();

    public ConfigurationGenerator(KeySource keySource) {
        this.keySource = keySource;
    }

    /**
     * Generates a configuration and checks it as a whole.
     *
     * @param before The configuration in force, whose keys are kept.
     * @throws CranberrygaugeException If the configuration would be invalid.
     */
    public Configuration generate(Questionnaire answers, Configuration before) throws CranberrygaugeException {
        Configuration configuration = build(answers, before);
        List<ConfigurationProblem> problems = ConfigurationValidator.problems(configuration);
        if (!problems.isEmpty()) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_CONFIGURATION,
                    String.join(
                            "; ",
                            problems.stream()
                                    .map(ConfigurationProblem::toString)
                                    .toList()));
        }
        return configuration;
    }

    /**
     * Builds a configuration without checking it as a whole.
     *
     * @param before The configuration in force, whose keys are kept.
     * @return The configuration, which may have problems.
     * @throws CranberrygaugeException If a time of day can't be parsed.
     */
    public Configuration build(Questionnaire answers, Configuration before) throws CranberrygaugeException {
        newKeys.clear();
        return new Configuration(
                String.valueOf(answers.deployment()),
                answers.dataCentres().stream()
                        .map(name -> new DataCentre(name, answers.region()))
                        .toList(),
                answers.classes().stream()
                        .map(ConfigurationGenerator::serviceClass)
                        .toList(),
                answers.customers().stream()
                        .map(answer -> customer(answer, before))
                        .toList(),
                answers.models(),
                routes(answers),
                backendServers(answers),
                answers.fleet().stream().map(ConfigurationGenerator::pool).toList(),
                cleaningWindows(answers),
                answers.times());
    }

    /** Returns the keys of the customers that the last build added, in plain text by customer. */
    public Map<String, String> newKeys() {
        return Map.copyOf(newKeys);
    }

    private static ServiceClass serviceClass(Questionnaire.ClassAnswer answer) {
        return new ServiceClass(
                answer.name(),
                answer.tier(),
                answer.guaranteedShare(),
                answer.firstTokenMillis(),
                answer.betweenTokensMillis(),
                answer.longestWaitMillis(),
                answer.queueLimit());
    }

    private Customer customer(Questionnaire.CustomerAnswer answer, Configuration before) {
        Set<String> classes = answer.classes() == null ? Set.of() : answer.classes();
        List<CustomerKey> keys = before.customer(answer.name())
                .map(Customer::keys)
                .orElseGet(() -> List.of(new CustomerKey(FIRST_KEY, KeyDigest.of(generateKey(answer.name())))));
        return new Customer(answer.name(), answer.weight(), keys, classes);
    }

    private String generateKey(String customer) {
        String key = keySource.next();
        newKeys.put(customer, key);
        return key;
    }

    private static List<ServiceRoute> routes(Questionnaire answers) {
        List<ServiceRoute> routes = new ArrayList<>();
        for (Questionnaire.ServiceAnswer service : answers.services()) {
            for (Questionnaire.RouteAnswer route : service.routes()) {
                routes.add(new ServiceRoute(
                        route.path(),
                        route.method(),
                        service.name(),
                        route.className(),
                        route.mayRepeat() ? Repetition.IDEMPOTENT : Repetition.AT_MOST_ONCE,
                        route.open(),
                        route.keyRequired(),
                        route.statusPath() == null ? "" : route.statusPath()));
            }
        }
        return routes;
    }

    private static List<BackendServer> backendServers(Questionnaire answers) {
        List<BackendServer> servers = new ArrayList<>();
        for (Questionnaire.EngineAnswer group : answers.engines()) {
            int number = 0;
            for (int port : group.ports()) {
                number++;
                servers.add(new BackendServer(
                        group.name() + "-" + number,
                        new NetworkAddress(group.host(), port),
                        group.dataCentre(),
                        BackendKind.MODEL,
                        group.models(),
                        Supply.REGULAR,
                        group.slots(),
                        group.checksFencing()));
            }
        }
        for (Questionnaire.ServiceAnswer service : answers.services()) {
            for (Questionnaire.WorkerAnswer worker : service.workers()) {
                servers.add(new BackendServer(
                        worker.name(),
                        new NetworkAddress(worker.host(), worker.port()),
                        worker.dataCentre(),
                        BackendKind.SERVICE,
                        Set.of(service.name()),
                        Supply.REGULAR,
                        worker.slots(),
                        false));
            }
        }
        return servers;
    }

    private static FleetPool pool(Questionnaire.PoolAnswer answer) {
        return new FleetPool(
                answer.dataCentre(),
                answer.model(),
                answer.supply(),
                answer.minimum(),
                answer.maximum(),
                answer.costPerHour());
    }

    private static List<CleaningWindow> cleaningWindows(Questionnaire answers) throws CranberrygaugeException {
        List<CleaningWindow> windows = new ArrayList<>();
        for (Questionnaire.CleaningAnswer answer : answers.cleaning()) {
            windows.add(new CleaningWindow(
                    answer.dataCentre(),
                    answer.day(),
                    TimeOfDay.minute("cleaning.start", answer.start()),
                    answer.durationMinutes()));
        }
        return windows;
    }
}
