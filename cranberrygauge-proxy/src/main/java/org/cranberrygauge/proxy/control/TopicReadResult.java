package org.cranberrygauge.proxy.control;

import java.util.List;
import org.cranberrygauge.proxy.store.Confirmation;

/**
 * What was read of a topic.
 *
 * @param records The records in order.
 * @param next The offset after the last record.
 * @param confirmation The time up to which there were no other records.
 * @param relayed Whether another host read them.
 * @param complete Whether there were no others; if there were, the confirmation says nothing.
 */
record TopicReadResult(List<byte[]> records, long next, Confirmation confirmation, boolean relayed, boolean complete) {}
