package org.springmill.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Settings;

/** The settings of the simulated deployment, with the names and addresses of its hosts. */
final class SimSettings {
    static final int CONTROLLERS = 3;
    static final double HEARTBEAT_SECONDS = 2;
    static final double LEASE_SECONDS = 14;
    static final double CANCEL_SECONDS = 44;
    static final int VALUE_BYTES = 8192;
    static final int WRITES_PER_COMMIT = 12;
    static final Settings.StoreLimits STORE_LIMITS =
            new Settings.StoreLimits(120, 20, VALUE_BYTES, WRITES_PER_COMMIT);
    static final String STORE_ADDRESS = "state:1";
    static final String CLOUD_ADDRESS = "cloud:1";
    static final List<String> ZONES = List.of("a", "b");
    static final String TEAM_WITHOUT_GUARANTEE = "guest";
    static final String USER = "user";
    static final String LOAD_BALANCER = "balancer";

    private static final String CONTROLLER_PREFIX = "n-";
    private static final String CONTROLLER_HOST_PREFIX = "10.0.0.";

    private SimSettings() {}

    static String controllerName(int controller) {
        return CONTROLLER_PREFIX + controller;
    }

    static boolean isControllerName(String name) {
        return name.startsWith(CONTROLLER_PREFIX);
    }

    /** The number of a controller, by its name. */
    static int controllerNumber(String name) {
        return Integer.parseInt(name.substring(CONTROLLER_PREFIX.length()));
    }

    static String apiAddress(int controller) {
        return CONTROLLER_HOST_PREFIX + controller + ":8080";
    }

    private static String peerAddress(int controller) {
        return CONTROLLER_HOST_PREFIX + controller + ":8081";
    }

    static boolean isController(String address) {
        return address.startsWith(CONTROLLER_HOST_PREFIX);
    }

    /** The number of a controller, by the address of its API. */
    static int controllerAt(String address) {
        return address.charAt(CONTROLLER_HOST_PREFIX.length()) - '0';
    }

    /** Settings of a controller with default operator settings. */
    static Settings of(int controller, Settings.StoreLimits storeLimits) {
        return of(controller, storeLimits, OperatorSettings.DEFAULTS);
    }

    static Settings of(
            int controller, Settings.StoreLimits storeLimits, OperatorSettings operator) {
        Map<String, String> peers = new HashMap<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            if (i != controller) {
                peers.put(controllerName(i), peerAddress(i));
            }
        }
        return new Settings(
                controllerName(controller),
                ZONES.get(0),
                apiAddress(controller),
                peerAddress(controller),
                peers,
                CLOUD_ADDRESS,
                STORE_ADDRESS,
                ZONES,
                1,
                List.of(
                        new Settings.Team("red", 0, 0, 8, 16),
                        new Settings.Team("blue", 0, 0, 8, 64),
                        new Settings.Team("amber", 8, 0, 8, 32),
                        new Settings.Team(TEAM_WITHOUT_GUARANTEE, 0, 0, 0, 0)),
                List.of(),
                new Settings.Workers(HEARTBEAT_SECONDS, LEASE_SECONDS, CANCEL_SECONDS),
                storeLimits,
                new Settings.CloudLimits(4, 3),
                new Settings.Limits(0.2, 176, 700),
                operator);
    }
}
