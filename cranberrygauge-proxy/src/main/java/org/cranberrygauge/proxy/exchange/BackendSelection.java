package org.cranberrygauge.proxy.exchange;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cranberrygauge.decision.backend.Availability;
import org.cranberrygauge.decision.backend.Availability.Kind;
import org.cranberrygauge.decision.fairness.FairOrder.Entry;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;
import org.cranberrygauge.proxy.routing.EnginePartition;
import org.cranberrygauge.proxy.stream.StreamOrigin;

/**
 * Selects the backend servers of one request: of its pool, none twice, of one software version once a stream has begun,
 * and none that takes no request of this host by its own statement. Not thread-safe.
 */
final class BackendSelection {

    /** The usual time until the shared log holds a new version, in milliseconds. */
    private static final long VERSION_STORED_MILLIS = 50;

    private final ExchangeContext context;

    private final ProxyRequest request;

    /** The incarnations of the backend servers that were tried. */
    private final Set<String> tried = new HashSet<>();

    /** The reasons for which the best server was not available. */
    private final Set<Kind> unavailable = EnumSet.noneOf(Kind.class);

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

    /**
     * Confines the selection to the version of a server that has begun a stream, and records where a resumable one began,
     * before the caller can resume it.
     */
    void begin(Backend began) {
        version = Optional.of(began.version());
        if (request.route().kind() == RouteKind.RESUMABLE_STREAM) {
            String first = request.callerHeaders().firstRequestId().orElse(request.id());
            context.streams().record(first, StreamOrigin.of(began));
        }
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

    /**
     * Looks up where the stream must have begun if no host knows it.
     *
     * @param found Receives the origin, or empty if it may have begun at several; called once.
     */
    void findOnlyOrigin(Consumer<Optional<StreamOrigin>> found) {
        if (request.route().pools().size() > 1) {
            found.accept(Optional.empty());
        } else {
            context.origins().findOnly(pool.name(), found);
        }
    }

    /** Chooses among the servers that are available now; requests a permit if it is what a better one lacks. */
    Optional<Choice> chooseOpen(long now) {
        Optional<Choice> best =
                choose(now, backend -> availability(now, backend).isEverOpen());
        if (best.isEmpty() || availability(now, best.get().backend()).isOpen()) {
            return best;
        }
        recordUnavailable(availability(now, best.get().backend()).kind());
        choose(now, backend -> shouldRequestPermit(now, backend))
                .ifPresent(choice -> context.gate().requestPermit(now, choice.backend()));
        return choose(now, backend -> availability(now, backend).isOpen());
    }

    /**
     * Chooses among the servers that are available by a time, or may be with a permit.
     *
     * @param byMillis The monotonic time in milliseconds.
     */
    Optional<Choice> chooseSoon(long now, long byMillis) {
        return choose(now, backend -> availability(now, backend).fromMillis() <= byMillis);
    }

    /**
     * Returns the monotonic time in milliseconds from which some server, tried or not, is available or may be with a
     * permit; empty if there is none.
     */
    OptionalLong availableFromMillis(long now) {
        return context.blackboard().backends().ready(pool.name()).stream()
                .filter(this::isHome)
                .map(backend -> availability(now, backend))
                .filter(Availability::isEverOpen)
                .mapToLong(Availability::fromMillis)
                .min();
    }

    /** Tells whether a server accepts new requests, by its entry and its own statements. */
    boolean takesRequests(Backend backend) {
        return context.blackboard().backends().isReady(backend)
                && !context.statements().isLeaving(backend.incarnation());
    }

    /** Records that the request is about to be sent to a server. */
    void use(long now, Backend backend) {
        context.gate().pass(now, backend);
        tried.add(backend.incarnation());
        context.placements()
                .record(now, backend.incarnation(), request.callerHeaders().prompt());
        if (pool.engine().isPresent()) {
            context.profiles().recordSent(pool.name(), request.callerHeaders().prompt(), uncachedTokens(backend));
        }
        context.customerUse().record(now, request.fairnessCustomer(), cost(backend));
    }

    /** Returns the cost of the request by which the usage of its customer is measured. */
    private long cost(Backend backend) {
        return pool.engine().isEmpty()
                ? 1
                : uncachedTokens(backend) + request.callerHeaders().prompt().outputTokens();
    }

    /** Tells whether the request has to wait while the servers of its pool have no capacity. */
    private boolean needsCapacity() {
        return pool.engine().isPresent()
                && !EnginePartition.isShort(request.callerHeaders().prompt());
    }

    /** Tells whether the request has to wait until the chosen server has capacity. */
    boolean mustWait(long now, Choice choice) {
        return choice.saturated() && (choice.full() || !mustStart(now));
    }

    /** Tells whether the request can't wait any longer and still be answered in time; never for engines. */
    boolean mustStart(long now) {
        return pool.engine().isEmpty()
                && now >= request.startsByMillis(context.capacity().responseMillis(pool.name()));
    }

    /** Sends the requests that wait for the capacity that this one has released, unless none waits. */
    void dispatchQueued() {
        String name = pool.name();
        if (context.queues().of(name).size() > 0) {
            context.vertx()
                    .runOnContext(
                            run -> context.queues().dispatch(context.time().monotonicMillis(), name));
        }
    }

    /** Returns the time that the chosen engine needs to read the prompt, in milliseconds. */
    private long prefillMillis(Choice choice) {
        return (long) context.profiles().of(pool.name()).prefillMillis(uncachedTokens(choice.backend()));
    }

    /** Returns the entry of the request in the queue. */
    Entry<Exchange> entry(Exchange exchange, Choice choice) {
        long prefillMillis = prefillMillis(choice);
        return new Entry<>(
                exchange,
                request.fairnessCustomer(),
                cost(choice.backend()),
                request.urgency(),
                request.onTimeMillis() - prefillMillis,
                Math.min(request.expiresAtMillis(), request.deadlineMillis() - prefillMillis),
                request.receivedMillis());
    }

    /** Tells whether a request in the queue comes before this one at the chosen server. */
    boolean isAwaited(Choice choice) {
        return needsCapacity()
                && context.queues().isAwaited(pool.name(), choice.backend().incarnation());
    }

    /** Records that the request is next in the queue and waits for capacity at the chosen server. */
    void recordAwaited(Choice choice) {
        context.queues().recordAwaited(pool.name(), choice.backend().incarnation());
    }

    /** Tells whether the chosen engine has some capacity, possibly less than the request needs. */
    boolean hasCapacity(long now, Choice choice) {
        return context.chooser()
                .hasCapacity(now, pool, choice.backend(), context.blackboard().peers());
    }

    private long uncachedTokens(Backend backend) {
        return context.load(pool, backend)
                .uncachedTokens(request.callerHeaders().prompt());
    }

    private Availability availability(long now, Backend backend) {
        boolean begins = request.route().kind() == RouteKind.RESUMABLE_STREAM && version.isEmpty();
        if (begins && !context.blackboard().mayBeginStream(backend)) {
            return new Availability(Kind.VERSION_NOT_STORED, now + VERSION_STORED_MILLIS);
        }
        return context.gate().availability(now, backend, version);
    }

    /** Tells whether the request may be sent to the region of a server. */
    private boolean isHome(Backend backend) {
        return request.homes().allows(backend.dataCentre(), context.regions());
    }

    private boolean shouldRequestPermit(long now, Backend backend) {
        return availability(now, backend).kind() == Kind.NEEDS_PERMIT
                && context.gate().mayRequestPermit(now, backend);
    }

    /** Counts that the best server was not available, once for each reason. */
    private void recordUnavailable(Kind reason) {
        if (unavailable.add(reason)) {
            context.metrics().recordUnavailable(pool.name(), reason.name());
        }
    }

    private Optional<Choice> choose(long now, Predicate<Backend> eligible) {
        return context.chooser()
                .choose(
                        now,
                        pool,
                        context.blackboard().backends().ready(pool.name()),
                        backend -> !tried.contains(backend.incarnation()) && isHome(backend) && eligible.test(backend),
                        request.callerHeaders().prompt(),
                        context.blackboard().peers());
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
