package org.springmill.transport;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * HTTP client with a small connection pool for each address. A limit applies to all pools together,
 * since a fleet may have more machines than this process has sockets; see {@link SocketBudget}.
 */
final class UndertowHttpClient implements HttpClient {
    /** Connections to one worker, and the fewest to a preferred address. */
    private static final int CONNECTIONS_PER_ADDRESS = 8;

    private final ClientContext context;
    private final SocketBudget budget;
    private final Set<String> preferred;
    private final int connectionsPerPreferredAddress;
    private final Map<String, ConnectionPool> pools = new HashMap<>();

    /**
     * Creates a client without connections.
     *
     * @param maxConnections the most open connections, without those to preferred addresses
     * @param preferred a few addresses whose connections do not count against that limit
     * @param connectionsPerPreferredAddress the most connections to each of them. Each carries one
     *     request at a time, so this limits the request rate to a server with a high latency.
     */
    UndertowHttpClient(
            ClientContext context,
            int maxConnections,
            Set<String> preferred,
            int connectionsPerPreferredAddress) {
        this.context = context;
        this.budget = new SocketBudget(maxConnections);
        this.preferred = preferred;
        this.connectionsPerPreferredAddress =
                Math.max(CONNECTIONS_PER_ADDRESS, connectionsPerPreferredAddress);
    }

    @Override
    public void send(Request request, Consumer<Reply> done) {
        ConnectionPool pool = pools.computeIfAbsent(request.address(), this::newPool);
        pool.submit(new PendingRequest(context, pool, request, done));
    }

    private ConnectionPool newPool(String address) {
        boolean isPreferred = preferred.contains(address);
        return new ConnectionPool(
                address,
                isPreferred ? connectionsPerPreferredAddress : CONNECTIONS_PER_ADDRESS,
                !isPreferred,
                budget,
                context,
                pool -> pools.remove(address, pool));
    }
}
