package org.cranberrygauge.runtime.tls;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.ServerSSLOptions;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.setting.SettingException;

/**
 * Lets a server use replaced certificates for new connections; open ones are not touched.
 *
 * <p>Invariants: files that can't be used leave the certificate before in use. Looks happen one at a time.
 */
public final class CertificateReloader {

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The files. */
    private final CertificateFiles files;

    /** The server. */
    private final HttpServer server;

    /** The event log. */
    private final EventLog events;

    /** What the files held when they were last tried. */
    private volatile CertificateFiles.Content tried;

    /**
     * Creates a reloader.
     *
     * @param vertx The Vert.x instance.
     * @param files The files.
     * @param inUse What the server was started with.
     * @param server The server.
     * @param events The event log.
     */
    public CertificateReloader(
            Vertx vertx, CertificateFiles files, CertificateFiles.Content inUse, HttpServer server, EventLog events) {
        this.vertx = vertx;
        this.files = files;
        this.tried = inUse;
        this.server = server;
        this.events = events;
    }

    /**
     * Starts to look at the files again and again.
     *
     * @param intervalMillis The time between two looks in milliseconds.
     */
    public void start(long intervalMillis) {
        vertx.setTimer(intervalMillis, timer -> look().onComplete(done -> start(intervalMillis)));
    }

    /**
     * Looks at the files once.
     *
     * @return Completes with whether a new certificate is in use.
     */
    public Future<Boolean> look() {
        return vertx.executeBlocking(this::read).compose(this::use).otherwise(failure -> {
            events.emit(new TlsEvents.CertificateRefused(String.valueOf(failure.getMessage())));
            return false;
        });
    }

    /**
     * Reads the files.
     *
     * @return What they hold.
     * @throws SettingException If one can't be read.
     */
    private CertificateFiles.Content read() throws SettingException {
        return files.read();
    }

    /**
     * Uses what the files hold if it is new.
     *
     * @param content What the files hold.
     * @return Completes with whether it is in use now.
     */
    private Future<Boolean> use(CertificateFiles.Content content) {
        if (content.equals(tried)) {
            return Future.succeededFuture(false);
        }
        tried = content;
        return server.updateSSLOptions(new ServerSSLOptions().setKeyCertOptions(content.options()))
                .map(changed -> {
                    events.emit(new TlsEvents.CertificateReloaded(content.fingerprint()));
                    return true;
                });
    }
}
