package org.springmill.cli;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.springmill.control.controller.Controller;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsException;
import org.springmill.transport.PeerLink;
import org.springmill.transport.Transport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs one controller until it is killed. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs one controller until it is killed.")
final class RunCommand implements Callable<Integer> {
    /** Not an exit code: the threads of the transport keep the process running. */
    static final int KEEPS_RUNNING = -1;

    /** Exit code for settings that cannot be used. */
    static final int BAD_SETTINGS = 2;

    private static final int CANNOT_START = 1;

    @Mixin private SettingsOptions options;

    @Override
    public Integer call() {
        try {
            start(options.read());
            return KEEPS_RUNNING;
        } catch (SettingsException e) {
            System.err.println("springmill: " + e.getMessage());
            return BAD_SETTINGS;
        } catch (IOException e) {
            System.err.println("springmill: cannot listen: " + e.getMessage());
            return CANNOT_START;
        }
    }

    /**
     * Starts a controller on the threads of a transport.
     *
     * @throws IOException if an address cannot be bound
     */
    static void start(Settings settings) throws IOException {
        // Both may have the same address, as in the training run of the class-data archive: Set.of
        // rejects duplicates.
        Transport transport =
                new Transport(
                        settings.limits().maxSockets(),
                        Set.copyOf(List.of(settings.storeAddress(), settings.cloudAddress())));
        PeerLink link = transport.openPeerLink(settings.peerListen(), settings.peers());
        Controller controller =
                new Controller(
                        settings,
                        transport.loop(),
                        transport.client(),
                        link,
                        new SplittableRandom(seed(settings)),
                        Runtime.getRuntime().maxMemory());
        transport.loop().after(0, controller::start);
        transport.serve(settings.listen(), controller);
    }

    /**
     * Returns a seed that differs between the processes of a node, so that their incarnations
     * differ. It does not contain the process id: to obtain it, the JVM reads system files in
     * native code, which has crashed processes at their start.
     */
    private static long seed(Settings settings) {
        return System.currentTimeMillis() << 20 ^ System.nanoTime() ^ settings.node().hashCode();
    }
}
