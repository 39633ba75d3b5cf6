package org.cranberrygauge.proxy.leader;

import org.cranberrygauge.model.backend.Supply;

/**
 * The whole number of backend servers that is wished for.
 *
 * @param pool The pool.
 * @param dataCentre The data centre.
 * @param supply How they are supplied.
 * @param number The number.
 */
public record BackendOrder(String pool, String dataCentre, Supply supply, int number) {}
