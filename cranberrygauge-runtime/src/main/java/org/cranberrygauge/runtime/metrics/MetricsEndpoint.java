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
 * Answers with the metrics of a registry.
 *
 * <p>Safe for use by several threads.
 */
public final class MetricsEndpoint implements Handler<HttpServerRequest> {

    /** The name of the compression. */
    private static final String GZIP = "gzip";

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
        boolean compress =
                String.valueOf(request.getHeader(HttpHeaders.ACCEPT_ENCODING)).contains(GZIP);
        HttpServerResponse response = request.response().putHeader(HttpHeaders.CONTENT_TYPE, writer.getContentType());
        if (compress) {
            response.putHeader(HttpHeaders.CONTENT_ENCODING, GZIP);
        }
        response.end(Buffer.buffer(text(compress)));
    }

    /**
     * Writes the metrics.
     *
     * @param compress Whether to compress them by gzip.
     * @return The bytes.
     */
    public byte[] text(boolean compress) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (OutputStream output = compress ? new GZIPOutputStream(bytes) : bytes) {
            writer.write(output, registry.scrape());
        } catch (IOException exception) {
            throw new IllegalStateException("memory can always be written", exception);
        }
        return bytes.toByteArray();
    }
}
