package org.cranberrygauge.emulator.engine;

import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.record.UsageFigures;

/**
 * What an engine counted itself.
 *
 * @param usage The usage by the label that the gateway sent.
 * @param credentials The credentials that callers of the engine sent.
 * @param running The requests that run.
 * @param waiting The requests that wait.
 * @param cancelled The requests whose connection went away.
 * @param headers The names of the headers that were sent, in lower case.
 * @param started The requests that arrived.
 */
public record EngineCounts(
        Map<String, UsageFigures> usage,
        Set<String> credentials,
        int running,
        int waiting,
        long cancelled,
        Set<String> headers,
        long started) {}
