package org.cranberrygauge.proxy.leader;

import org.cranberrygauge.model.backend.Supply;

/**
 * An order that sets the total number of backend servers of one supply in a data centre.
 *
 * @param supply Whether regular or cheap, reclaimable servers are ordered.
 * @param number The total number, not the difference from the current one.
 */
public record BackendOrder(String pool, String dataCentre, Supply supply, int number) {}
