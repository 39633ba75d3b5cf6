package org.cranberrygauge.proxy.backend;

import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;

/**
 * One start of a backend server, as its own entry describes it.
 *
 * @param id The identifier that requests name, so that another process at the same address rejects them.
 * @param startedMillis The time of its start in milliseconds of the epoch; a new start knows nothing of an earlier one.
 * @param pool The pool that it belongs to.
 * @param address Its address.
 * @param dataCentre Its data centre.
 * @param slots The requests that it runs at once.
 * @param leaving Whether it takes no new work.
 * @param supply How it is supplied.
 */
public record Backend(
        String id,
        long startedMillis,
        String pool,
        NetworkAddress address,
        String dataCentre,
        int slots,
        boolean leaving,
        Supply supply) {

    /**
     * Returns a name that differs for each start.
     *
     * @return The name.
     */
    public String incarnation() {
        return id + "/" + startedMillis;
    }
}
