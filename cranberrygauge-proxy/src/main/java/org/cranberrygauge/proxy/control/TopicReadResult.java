package org.cranberrygauge.proxy.control;

import java.util.List;
import org.cranberrygauge.proxy.store.Confirmation;

/**
 * The records that a read of a topic returned.
 *
 * @param records The records in order.
 * @param next The offset after the last record.
 * @param confirmation The time up to which there were no further records.
 * @param relayed Whether another host read the records.
 * @param complete Whether there were no further records; if there were, the confirmation is {@link Confirmation#NONE}.
 */
record TopicReadResult(List<byte[]> records, long next, Confirmation confirmation, boolean relayed, boolean complete) {}
