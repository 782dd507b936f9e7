package org.springmill.emulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.springmill.emulator.EmulatedWorker.Environment;
import org.springmill.emulator.Scenario.MachineGroup;
import org.springmill.transport.Transport;

/**
 * All emulated workers, each with its own loopback address, spread over a few event loops. The
 * methods are called from one thread; the code of a worker runs on the worker's event loop.
 */
final class EmulatedFleet implements EmulatedCloud.Machines {
    private static final int LOOPS = 3;
    private static final int PORT = 9000;
    private static final int ANY_PORT = 0;

    /** Delay before the event loops close, so that messages in flight are delivered. */
    private static final double CLOSE_SECONDS = 0.1;

    private static final int ADDRESSES_PER_NET = 250;
    private static final int SOCKETS_PER_LOOP = 20_000;

    private final List<Transport> transports = new ArrayList<>();
    private final Map<String, Placed> workers = new HashMap<>();
    private final Environment environment;
    private final SplittableRandom random;
    private final int network;
    private final Consumer<IOException> onFailure;
    private int createdCount;
    private boolean loseHeartbeatsOfNewMachines;

    private record Placed(EmulatedWorker worker, Transport transport, double upAt) {
        boolean isBooting() {
            return transport.loop().now() < upAt;
        }

        void loseHeartbeats(boolean lost) {
            transport.loop().after(0, () -> worker.setHeartbeatsLost(lost));
        }
    }

    /**
     * @param network second octet of the loopback addresses
     * @param onFailure called on a worker's loop with the error of a worker that cannot listen
     */
    EmulatedFleet(
            Environment environment,
            SplittableRandom random,
            int network,
            Consumer<IOException> onFailure)
            throws IOException {
        this.onFailure = onFailure;
        this.environment = environment;
        this.random = random;
        this.network = network;
        for (int i = 0; i < LOOPS; i++) {
            transports.add(new Transport(SOCKETS_PER_LOOP, Set.of()));
        }
    }

    @Override
    public String create(String name, MachineGroup type, String zone, double bootSeconds) {
        Transport transport = transports.get(createdCount % LOOPS);
        String host =
                "127."
                        + network
                        + "."
                        + createdCount / ADDRESSES_PER_NET
                        + "."
                        + (createdCount % ADDRESSES_PER_NET + 1)
                        + ":";
        String address = host + PORT;
        createdCount++;
        EmulatedWorker worker =
                new EmulatedWorker(
                        name,
                        address,
                        zone,
                        type,
                        environment,
                        transport.loop(),
                        transport.newClient(EmulatedWorker.sockets()),
                        handler -> host + transport.serve(host + ANY_PORT, handler),
                        random.split());
        double upAt = transport.loop().now() + bootSeconds;
        Placed placed = new Placed(worker, transport, upAt);
        workers.put(name, placed);
        if (loseHeartbeatsOfNewMachines) {
            placed.loseHeartbeats(true);
        }
        transport.loop().after(bootSeconds, () -> boot(transport, address, worker));
        return address;
    }

    private void boot(Transport transport, String address, EmulatedWorker worker) {
        try {
            transport.serve(address, worker);
            worker.start();
        } catch (IOException e) {
            onFailure.accept(new IOException("a worker cannot listen on " + address, e));
        }
    }

    @Override
    public void destroy(String name) {
        Placed placed = workers.remove(name);
        if (placed != null) {
            placed.transport().loop().after(0, placed.worker()::destroy);
        }
    }

    /** Names of the machines in the given zones, sorted. */
    List<String> machinesIn(Set<String> zones) {
        return workers.entrySet().stream()
                .filter(entry -> zones.contains(entry.getValue().worker().zone()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Makes machines fail with all of their tasks, or restarts them without tasks. */
    void setFailed(List<String> names, boolean failed) {
        for (String name : names) {
            Placed placed = workers.get(name);
            if (placed != null) {
                placed.transport().loop().after(0, () -> placed.worker().setFailed(failed));
            }
        }
    }

    /**
     * From now on the heartbeats of these machines, and of all that are not up yet, reach no
     * controller.
     */
    void loseHeartbeats(List<String> names) {
        loseHeartbeatsOfNewMachines = true;
        Set<String> affected = Set.copyOf(names);
        workers.forEach(
                (name, placed) -> {
                    if (affected.contains(name) || placed.isBooting()) {
                        placed.loseHeartbeats(true);
                    }
                });
    }

    /** The heartbeats of all machines reach the controllers again. */
    void deliverHeartbeats() {
        loseHeartbeatsOfNewMachines = false;
        workers.values().forEach(placed -> placed.loseHeartbeats(false));
    }

    /** Destroys all machines, then closes their event loops. */
    void close() {
        List.copyOf(workers.keySet()).forEach(this::destroy);
        for (Transport transport : transports) {
            transport.loop().after(CLOSE_SECONDS, transport::close);
        }
    }
}
