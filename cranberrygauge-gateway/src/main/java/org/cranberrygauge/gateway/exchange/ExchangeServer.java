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
 * The Thrift server that peers send their reports to.
 *
 * <p>Runs on its own daemon threads.
 */
public final class ExchangeServer {

    /** The number of worker threads. */
    private static final int WORKER_THREADS = 2;

    private final TServer server;

    private final int port;

    /**
     * Starts a server.
     *
     * @param address The address to listen on; port 0 selects a free port.
     * @throws CranberrygaugeException If the address cannot be bound.
     */
    public ExchangeServer(NetworkAddress address, GatewayExchange.Iface service) throws CranberrygaugeException {
        try {
            TNonblockingServerSocket socket =
                    new TNonblockingServerSocket(new InetSocketAddress(address.host(), address.port()));
            port = socket.getPort();
            server = new TThreadedSelectorServer(new TThreadedSelectorServer.Args(socket)
                    .selectorThreads(1)
                    .workerThreads(WORKER_THREADS)
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

    /** Returns the port that the server is listening on. */
    public int port() {
        return port;
    }

    public void stop() {
        server.stop();
    }
}
