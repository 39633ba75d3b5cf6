package org.cranberrygauge.runtime.tls;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.ServerSSLOptions;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.setting.SettingException;

/**
 * Applies replaced certificates to new connections of a server; open connections are not affected.
 *
 * <p>Invariants: if the files cannot be used, the previous certificate remains in use. Checks run one at a time.
 */
public final class CertificateReloader {

    private final Vertx vertx;

    private final CertificateFiles files;

    private final HttpServer server;

    private final EventLog events;

    /** The content of the files when they were last applied, successfully or not. */
    private volatile CertificateFiles.Content lastTried;

    public CertificateReloader(
            Vertx vertx, CertificateFiles files, CertificateFiles.Content inUse, HttpServer server, EventLog events) {
        this.vertx = vertx;
        this.files = files;
        this.lastTried = inUse;
        this.server = server;
        this.events = events;
    }

    /**
     * Starts checking the files periodically.
     *
     * @param intervalMillis The delay between two checks in milliseconds.
     */
    public void start(long intervalMillis) {
        vertx.setTimer(intervalMillis, timer -> checkFiles().onComplete(done -> start(intervalMillis)));
    }

    /**
     * Checks the files once.
     *
     * @return Whether a new certificate was applied.
     */
    public Future<Boolean> checkFiles() {
        return vertx.executeBlocking(this::read).compose(this::applyIfChanged).otherwise(failure -> {
            events.emit(new TlsEvents.CertificateRefused(String.valueOf(failure.getMessage())));
            return false;
        });
    }

    private CertificateFiles.Content read() throws SettingException {
        return files.read();
    }

    /** Applies the content of the files if it has changed. */
    private Future<Boolean> applyIfChanged(CertificateFiles.Content content) {
        if (content.equals(lastTried)) {
            return Future.succeededFuture(false);
        }
        lastTried = content;
        return server.updateSSLOptions(new ServerSSLOptions().setKeyCertOptions(content.options()))
                .map(changed -> {
                    events.emit(new TlsEvents.CertificateReloaded(content.fingerprint()));
                    return true;
                });
    }
}
