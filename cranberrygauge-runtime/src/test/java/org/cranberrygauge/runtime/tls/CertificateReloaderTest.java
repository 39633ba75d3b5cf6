package org.cranberrygauge.runtime.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.SelfSignedCertificate;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.event.EventRingBuffer;
import org.cranberrygauge.runtime.setting.SettingException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CertificateReloaderTest {

    private final Vertx vertx = Vertx.vertx();

    private final SelfSignedCertificate first = SelfSignedCertificate.create("localhost");

    private final SelfSignedCertificate second = SelfSignedCertificate.create("localhost");

    private final EventRingBuffer events = new EventRingBuffer(8, () -> 1);

    private final Promise<HttpServerResponse> slow = Promise.promise();

    private final List<HttpClient> clients = new ArrayList<>();

    @TempDir
    private Path directory;

    private CertificateFiles files;

    private HttpServer server;

    private CertificateReloader reloader;

    @BeforeEach
    void start() throws Exception {
        files = new CertificateFiles(directory.resolve("certificate.pem"), directory.resolve("key.pem"));
        install(first);
        CertificateFiles.Content content = files.read();
        server = vertx.createHttpServer(new HttpServerOptions().setSsl(true).setKeyCertOptions(content.options()))
                .requestHandler(request -> {
                    if (request.path().equals("/slow")) {
                        request.response().setChunked(true).write("begin ");
                        slow.complete(request.response());
                    } else {
                        request.response().end("whole");
                    }
                })
                .listen(0, "localhost")
                .await();
        reloader = new CertificateReloader(vertx, files, content, server, events);
    }

    @AfterEach
    void stop() {
        vertx.close().await();
        first.delete();
        second.delete();
    }

    @Test
    void a_replaced_certificate_serves_new_connections_and_cuts_no_open_stream() throws Exception {
        Future<Buffer> open = get(first, "/slow");
        HttpServerResponse running = slow.future().await();
        install(second);
        assertThat(reloader.checkFiles().await()).isTrue();
        assertThat(get(second, "/").await()).isEqualTo(Buffer.buffer("whole"));
        assertThatThrownBy(() -> get(first, "/").await()).isInstanceOf(Exception.class);
        running.end("end");
        assertThat(open.await()).isEqualTo(Buffer.buffer("begin end"));
        assertThat(events.about(files.read().fingerprint())).hasSize(1);
    }

    @Test
    void files_that_cannot_be_used_leave_the_previous_certificate_in_use() throws Exception {
        Files.writeString(files.certificate(), "no certificate");
        assertThat(reloader.checkFiles().await()).isFalse();
        assertThat(get(first, "/").await()).isEqualTo(Buffer.buffer("whole"));
    }

    @Test
    void files_that_did_not_change_are_not_loaded_again() {
        assertThat(reloader.checkFiles().await()).isFalse();
    }

    @Test
    void a_certificate_without_its_key_is_an_invalid_setting() {
        assertThatThrownBy(() -> new TlsSettings(files.certificate(), null).files())
                .isInstanceOf(SettingException.class)
                .hasMessageContaining("--tls-key is missing");
    }

    @Test
    void no_text_shows_the_private_key() throws Exception {
        String key = Files.readString(files.key()).lines().skip(1).findFirst().orElseThrow();
        assertThat(files.read().toString()).doesNotContain(key);
        assertThat(EventLog.line(new TlsEvents.CertificateReloaded(files.read().fingerprint())))
                .doesNotContain(key);
    }

    private Future<Buffer> get(SelfSignedCertificate trusted, String path) {
        HttpClient client = vertx.createHttpClient(new HttpClientOptions()
                .setSsl(true)
                .setTrustOptions(trusted.trustOptions())
                .setVerifyHost(false));
        clients.add(client);
        return client.request(HttpMethod.GET, server.actualPort(), "localhost", path)
                .compose(request -> request.send())
                .compose(HttpClientResponse::body);
    }

    private void install(SelfSignedCertificate certificate) throws Exception {
        Files.copy(Path.of(certificate.certificatePath()), files.certificate(), StandardCopyOption.REPLACE_EXISTING);
        Files.copy(Path.of(certificate.privateKeyPath()), files.key(), StandardCopyOption.REPLACE_EXISTING);
    }
}
