package org.cranberrygauge.runtime.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Serves the metrics of a registry in the Prometheus text format.
 *
 * <p>Safe for use by several threads.
 */
public final class MetricsEndpoint implements Handler<HttpServerRequest> {

    private static final String GZIP = "gzip";

    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

    private final PrometheusRegistry registry;

    public MetricsEndpoint(PrometheusRegistry registry) {
        this.registry = registry;
    }

    @Override
    public void handle(HttpServerRequest request) {
        boolean compress =
                String.valueOf(request.getHeader(HttpHeaders.ACCEPT_ENCODING)).contains(GZIP);
        HttpServerResponse response = request.response().putHeader(HttpHeaders.CONTENT_TYPE, writer.getContentType());
        if (compress) {
            response.putHeader(HttpHeaders.CONTENT_ENCODING, GZIP);
        }
        response.end(Buffer.buffer(text(compress)));
    }

    /** Returns the metrics in the text format, optionally compressed with gzip. */
    public byte[] text(boolean compress) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (OutputStream output = compress ? new GZIPOutputStream(bytes) : bytes) {
            writer.write(output, registry.scrape());
        } catch (IOException exception) {
            throw new IllegalStateException("writing to memory cannot fail", exception);
        }
        return bytes.toByteArray();
    }
}
