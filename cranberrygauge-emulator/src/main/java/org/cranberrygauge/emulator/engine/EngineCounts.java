package org.cranberrygauge.emulator.engine;

import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.record.UsageFigures;

/**
 * Counts of an emulated engine, served at /counts.
 *
 * @param usage The usage by the label that the gateway sent.
 * @param credentials The Authorization headers that were received.
 * @param running The number of running requests.
 * @param waiting The number of queued requests.
 * @param cancelled The number of requests whose connection was closed before they ended.
 * @param headers The names of the headers that were received, in lower case.
 * @param started The number of requests received.
 */
public record EngineCounts(
        Map<String, UsageFigures> usage,
        Set<String> credentials,
        int running,
        int waiting,
        long cancelled,
        Set<String> headers,
        long started) {}
