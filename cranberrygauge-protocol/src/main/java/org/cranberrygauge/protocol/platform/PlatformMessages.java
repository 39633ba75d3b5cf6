package org.cranberrygauge.protocol.platform;

import java.util.List;
import org.cranberrygauge.model.backend.ListedBackendServer;

/** The bodies of the platform's HTTP interface that have no type of their own. */
public final class PlatformMessages {

    /** The path of appends. */
    public static final String APPEND_PATH = "/log/append";

    /** The path of reads. */
    public static final String RECORDS_PATH = "/log/records";

    /** The path of the list of backend servers. */
    public static final String BACKEND_SERVERS_PATH = "/backend-servers";

    /** The path of the list of entry hosts. */
    public static final String ENTRY_HOSTS_PATH = "/entry-hosts";

    /** The path of orders. */
    public static final String ORDERS_PATH = "/orders";

    /** The path of usage reports. */
    public static final String USAGE_PATH = "/usage";

    /** Prevents instances. */
    private PlatformMessages() {}

    /**
     * The body of an append.
     *
     * @param payload The entry.
     */
    public record AppendRequest(String payload) {}

    /**
     * The answer to an append.
     *
     * @param offset The offset.
     */
    public record AppendAnswer(long offset) {}

    /**
     * The answer of the list of entry hosts.
     *
     * @param hosts The names of the hosts, live or leaving.
     */
    public record EntryHostList(List<String> hosts) {

        /** Copies the list. */
        public EntryHostList {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * The answer of the list of backend servers.
     *
     * @param backendServers The backend servers.
     */
    public record BackendServerList(List<ListedBackendServer> backendServers) {}
}
