package org.cranberrygauge.gateway.exchange;

import java.net.InetSocketAddress;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.protocol.generated.GatewayExchange;

/**
 * The Thrift server for peers.
 *
 * <p>Runs on threads of its own, which are daemons.
 */
public final class ExchangeServer {

    /** The number of threads that answer. */
    private static final int WORKERS = 2;

    /** The server. */
    private final TServer server;

    /** The port. */
    private final int port;

    /**
     * Starts a server.
     *
     * @param address The address; port 0 takes any free one.
     * @param service The service.
     * @throws CranberrygaugeException If the address can't be used.
     */
    public ExchangeServer(NetworkAddress address, GatewayExchange.Iface service) throws CranberrygaugeException {
        try {
            TNonblockingServerSocket socket =
                    new TNonblockingServerSocket(new InetSocketAddress(address.host(), address.port()));
            port = socket.getPort();
            server = new TThreadedSelectorServer(new TThreadedSelectorServer.Args(socket)
                    .selectorThreads(1)
                    .workerThreads(WORKERS)
                    .transportFactory(new TFramedTransport.Factory())
                    .protocolFactory(new TCompactProtocol.Factory())
                    .processor(new GatewayExchange.Processor<>(service)));
        } catch (TException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_SETTING,
                    "--exchange-address is \"" + address + "\"; allowed is a free address of this host",
                    exception);
        }
        Thread thread = new Thread(server::serve, "exchange-server");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns the port.
     *
     * @return The port.
     */
    public int port() {
        return port;
    }

    /** Stops the server. */
    public void stop() {
        server.stop();
    }
}
