package org.cranberrygauge.runtime.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Answers with the metrics of a registry.
 *
 * <p>Safe for use by several threads.
 */
public final class MetricsEndpoint implements Handler<HttpServerRequest> {

    /** The writer of the text format. */
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

    /** The registry. */
    private final PrometheusRegistry registry;

    /**
     * Creates an endpoint.
     *
     * @param registry The registry.
     */
    public MetricsEndpoint(PrometheusRegistry registry) {
        this.registry = registry;
    }

    @Override
    public void handle(HttpServerRequest request) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            writer.write(output, registry.scrape());
        } catch (IOException exception) {
            throw new IllegalStateException("memory can always be written", exception);
        }
        request.response().putHeader("Content-Type", writer.getContentType()).end(Buffer.buffer(output.toByteArray()));
    }
}
