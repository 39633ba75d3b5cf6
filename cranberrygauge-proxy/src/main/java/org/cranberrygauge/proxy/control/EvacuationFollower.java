package org.cranberrygauge.proxy.control;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.decision.backend.ColdServers;
import org.cranberrygauge.decision.evacuation.Evacuations;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.KeyedRecord;

/**
 * Applies the operator's evacuations of data centres, whose backend servers get no requests until the record is removed.
 *
 * <p>Servers of a data centre may become cold while it is evacuated, so that they are presumed cold at its end until
 * their next entries have been read. Not thread-safe.
 */
public final class EvacuationFollower implements TopicFollower.Listener {

    /** The time within which each backend server of a data centre writes an entry and all hosts read it. */
    private static final long ENTRY_MILLIS = 3_000;

    private final ControllerContext context;

    /** The start of the keys of evacuations; the name of the data centre follows. */
    private final String keyPrefix;

    private final ColdServers cold;

    private final Evacuations evacuations = new Evacuations();

    /** The data centres as last published. */
    private Set<String> published = Set.of();

    /** @param keyPrefix The start of the keys of evacuations; the name of the data centre follows. */
    public EvacuationFollower(ControllerContext context, String keyPrefix, ColdServers cold) {
        this.context = context;
        this.keyPrefix = keyPrefix;
        this.cold = cold;
        context.log()
                .era()
                .onChange((previous, current) ->
                        evacuations.recordRollback(context.time().monotonicMillis()));
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        Set<String> listed = new HashSet<>();
        for (String key : values.keySet()) {
            if (isEvacuation(key)) {
                listed.add(dataCentre(key));
            }
        }
        evacuations.replace(context.time().monotonicMillis(), listed);
        publish();
    }

    @Override
    public void onRecord(KeyedRecord record, long offset) {
        if (!isEvacuation(record.key())) {
            return;
        }
        if (record.value().isPresent()) {
            evacuations.start(dataCentre(record.key()));
        } else {
            evacuations.end(dataCentre(record.key()));
        }
        publish();
    }

    @Override
    public void onConfirmed(Confirmation confirmation, boolean relayed) {
        publish();
    }

    private boolean isEvacuation(String key) {
        return key.startsWith(keyPrefix) && key.length() > keyPrefix.length();
    }

    private String dataCentre(String key) {
        return key.substring(keyPrefix.length());
    }

    /** Publishes the evacuated data centres if they have changed. */
    private void publish() {
        long now = context.time().monotonicMillis();
        Set<String> current = evacuations.current(now);
        if (current.equals(published)) {
            return;
        }
        Set<String> previous = published;
        published = current;
        current.stream().filter(name -> !previous.contains(name)).forEach(this::logStart);
        previous.stream().filter(name -> !current.contains(name)).forEach(name -> end(now, name));
        context.blackboard().publishEvacuated(current);
    }

    private void logStart(String dataCentre) {
        int servers = (int) context.blackboard().backends().all().stream()
                .filter(backend -> backend.dataCentre().equals(dataCentre))
                .count();
        context.events().emit(new ControlEvents.DataCentreEvacuated(dataCentre, servers));
    }

    private void end(long now, String dataCentre) {
        for (Backend backend : context.blackboard().backends().all()) {
            if (backend.dataCentre().equals(dataCentre)) {
                cold.presume(now, backend.pool(), backend.incarnation(), ENTRY_MILLIS);
            }
        }
        context.events().emit(new ControlEvents.DataCentreRestored(dataCentre));
    }
}
