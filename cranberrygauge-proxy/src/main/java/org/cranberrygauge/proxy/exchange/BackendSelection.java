package org.cranberrygauge.proxy.exchange;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;
import org.cranberrygauge.proxy.stream.StreamOrigin;

/**
 * Selects the backend servers of one request: of its pool, none twice, of one software version once a stream has begun,
 * and none whose limit is used up. Not thread-safe.
 */
final class BackendSelection {

    private final ExchangeContext context;

    private final ProxyRequest request;

    /** The incarnations of the backend servers that were tried. */
    private final Set<String> tried = new HashSet<>();

    /** The pool that serves the request; for a resumed stream the one in which it began. */
    private Pool pool;

    /** The version to which the selection is confined. */
    private Optional<String> version = Optional.empty();

    BackendSelection(ExchangeContext context, ProxyRequest request) {
        this.context = context;
        this.request = request;
        this.pool = request.pool();
    }

    Pool pool() {
        return pool;
    }

    /** Confines the selection to the version of a server that has begun a stream. */
    void confineTo(Backend began) {
        version = Optional.of(began.version());
    }

    /**
     * Confines the selection to the pool and version in which a stream began.
     *
     * @return Whether the route still leads to that pool.
     */
    boolean confineTo(StreamOrigin origin) {
        Optional<Pool> permitted = permittedPool(origin.pool());
        permitted.ifPresent(began -> pool = began);
        version = Optional.of(origin.version());
        return permitted.isPresent();
    }

    /** Returns where the stream must have begun if only one version of one pool served lately. */
    Optional<StreamOrigin> onlyOrigin() {
        if (request.route().pools().size() > 1) {
            return Optional.empty();
        }
        return context.versions().onlyVersion(pool.name()).map(only -> new StreamOrigin(pool.name(), only));
    }

    /** Chooses among the servers that need no permit or for which this host holds one; requests one if it lacks it. */
    Optional<Choice> chooseOpen(long now) {
        Optional<Choice> preferred = choose(now, backend -> isOpenOrMayRequest(now, backend));
        if (preferred.isEmpty() || context.gate().isOpen(now, preferred.get().backend())) {
            return preferred;
        }
        context.gate().requestPermit(now, preferred.get().backend());
        return choose(now, backend -> context.gate().isOpen(now, backend));
    }

    /** Chooses among all servers, also those for which a permit is missing. */
    Optional<Choice> chooseAny(long now) {
        return choose(now, backend -> true);
    }

    /** Records that the request is about to be sent to a server. */
    void use(long now, Backend backend) {
        context.gate().pass(now, backend);
        tried.add(backend.incarnation());
        if (pool.engine().isPresent()) {
            context.profiles().recordSent(pool.name(), request.callerHeaders().prompt(), uncachedTokens(backend));
        }
    }

    /** Returns the time that the chosen engine needs to read the prompt, in milliseconds. */
    long prefillMillis(Choice choice) {
        return (long) context.profiles().of(pool.name()).prefillMillis(uncachedTokens(choice.backend()));
    }

    private long uncachedTokens(Backend backend) {
        return context.load(pool, backend)
                .uncachedTokens(request.callerHeaders().prompt());
    }

    private boolean isOpenOrMayRequest(long now, Backend backend) {
        return context.gate().isOpen(now, backend) || context.gate().mayRequestPermit(now, backend);
    }

    private Optional<Choice> choose(long now, Predicate<Backend> eligible) {
        return context.chooser()
                .choose(
                        now,
                        pool,
                        context.blackboard().backends().ready(pool.name()),
                        backend -> mayTry(backend) && eligible.test(backend),
                        request.callerHeaders().prompt(),
                        context.blackboard().peers());
    }

    private boolean mayTry(Backend backend) {
        return !tried.contains(backend.incarnation())
                && version.filter(began -> !began.equals(backend.version())).isEmpty();
    }

    private Optional<Pool> permittedPool(String name) {
        if (request.route().pools().stream()
                .noneMatch(weighted -> weighted.pool().equals(name))) {
            return Optional.empty();
        }
        return context.blackboard()
                .configuration()
                .configuration()
                .map(known -> known.pools().get(name));
    }
}
