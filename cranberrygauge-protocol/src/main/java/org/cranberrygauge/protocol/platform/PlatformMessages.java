package org.cranberrygauge.protocol.platform;

import java.util.List;
import org.cranberrygauge.model.backend.ListedBackendServer;

/** The paths and message bodies of the platform's HTTP interface. */
public final class PlatformMessages {

    public static final String APPEND_PATH = "/log/append";

    public static final String RECORDS_PATH = "/log/records";

    public static final String BACKEND_SERVERS_PATH = "/backend-servers";

    public static final String ENTRY_HOSTS_PATH = "/entry-hosts";

    public static final String ORDERS_PATH = "/orders";

    public static final String USAGE_PATH = "/usage";

    private PlatformMessages() {}

    /**
     * The body of an append request.
     *
     * @param payload The serialized entry.
     */
    public record AppendRequest(String payload) {}

    /**
     * The response to an append request.
     *
     * @param offset The offset of the entry.
     */
    public record AppendAnswer(long offset) {}

    /**
     * The response to a request for the entry hosts.
     *
     * @param hosts The names of the hosts, live or leaving.
     */
    public record EntryHostList(List<String> hosts) {

        public EntryHostList {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * The response to a request for the backend servers.
     *
     * @param backendServers The backend servers with their states.
     */
    public record BackendServerList(List<ListedBackendServer> backendServers) {}
}
