package org.cranberrygauge.proxy.backend;

import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;

/**
 * One incarnation of a backend server, as described by its own registration.
 *
 * @param id The identifier that requests name, so that another process at the same address rejects them.
 * @param startedMillis The time of its start in milliseconds since the epoch; a restarted server has lost all its
 *     state.
 * @param version The version of its software; what two versions write does not fit together in one stream.
 * @param slots The number of requests that it runs at once.
 * @param leaving Whether it drains and accepts no new requests.
 * @param supply Whether it is regular or cheap, reclaimable capacity.
 * @param coldMillis The time for which it stays cold, in milliseconds, counted from its entry; 0 if it is not cold.
 * @param incarnation A name that is unique to this start of the server. It follows from identifier and start, and is kept
 *     since each choice of a server looks up what is known of all of them by it.
 */
public record Backend(
        String id,
        long startedMillis,
        String pool,
        NetworkAddress address,
        String dataCentre,
        String version,
        int slots,
        boolean leaving,
        Supply supply,
        long coldMillis,
        String incarnation) {

    /** Creates a backend server with the incarnation that follows from its identifier and start. */
    public Backend(
            String id,
            long startedMillis,
            String pool,
            NetworkAddress address,
            String dataCentre,
            String version,
            int slots,
            boolean leaving,
            Supply supply,
            long coldMillis) {
        this(
                id,
                startedMillis,
                pool,
                address,
                dataCentre,
                version,
                slots,
                leaving,
                supply,
                coldMillis,
                id + "/" + startedMillis);
    }

    /** Returns this backend server as one that drains. */
    public Backend withLeaving() {
        return new Backend(id, startedMillis, pool, address, dataCentre, version, slots, true, supply, coldMillis);
    }

    /** Returns this backend server without the time for which it stays cold, which changes with each entry. */
    public Backend withoutColdTime() {
        return new Backend(id, startedMillis, pool, address, dataCentre, version, slots, leaving, supply, 0);
    }
}
