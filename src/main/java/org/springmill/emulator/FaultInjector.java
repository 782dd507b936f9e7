package org.springmill.emulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.emulator.EmulationResult.FaultRecord;
import org.springmill.emulator.Scenario.Fault;
import org.springmill.transport.EventLoop;

/** Injects the faults of a scenario, and records their effect on running tasks. */
final class FaultInjector {
    private static final Logger LOG = LoggerFactory.getLogger(FaultInjector.class);

    /** A fault is over when this share of the tasks that ran before it runs again. */
    private static final double RECOVERED_SHARE = 0.98;

    private final EventLoop loop;
    private final Scenario scenario;
    private final EmulatedFleet fleet;
    private final EmulatedCloud cloud;
    private final EmulatedKeyValueStore store;
    private final ControllerGroup controllers;
    private final RuleChecker rules;
    private final List<ActiveFault> activeFaults = new ArrayList<>();

    /** A fault that has begun. */
    private static final class ActiveFault {
        private final Fault fault;
        private final double since;
        private final int runningBefore;
        private int lowestRunning;
        private double recoveredSeconds = -1;

        ActiveFault(Fault fault, double since, int runningBefore) {
            this.fault = fault;
            this.since = since;
            this.runningBefore = runningBefore;
            lowestRunning = runningBefore;
        }
    }

    FaultInjector(
            EventLoop loop,
            Scenario scenario,
            EmulatedFleet fleet,
            EmulatedCloud cloud,
            EmulatedKeyValueStore store,
            ControllerGroup controllers,
            RuleChecker rules) {
        this.loop = loop;
        this.scenario = scenario;
        this.fleet = fleet;
        this.cloud = cloud;
        this.store = store;
        this.controllers = controllers;
        this.rules = rules;
    }

    /** Schedules all faults; their times count from now. */
    void start() {
        scenario.faults().forEach(fault -> loop.after(fault.atSeconds(), () -> begin(fault)));
    }

    private void begin(Fault fault) {
        LOG.info("injecting fault {}: {}", fault.name(), fault.kind());
        activeFaults.add(new ActiveFault(fault, loop.now(), rules.running()));
        List<String> zones = scenario.zoneNames();
        switch (fault.kind()) {
            case RACK_LOST -> failMachines(fault, firstMachines(fault));
            case ZONE_LOST -> failMachines(fault, fleet.machinesIn(Set.of(zones.get(0))));
            case REGION_LOST -> failMachines(fault, fleet.machinesIn(firstRegion(zones)));
            case LEADER_KILLED -> controllers.killLeader();
            case CONTROLLERS_KILLED -> controllers.killAll();
            case STATE_SERVICE_DOWN -> {
                store.setDown(true);
                endAfter(fault, () -> store.setDown(false));
            }
            case CLOUD_DOWN -> {
                cloud.setDown(true);
                endAfter(fault, () -> cloud.setDown(false));
            }
            case HEARTBEATS_LOST -> {
                fleet.loseHeartbeats(firstMachines(fault));
                endAfter(fault, fleet::deliverHeartbeats);
            }
        }
    }

    /** As many machines of the first zone as the fault names. */
    private List<String> firstMachines(Fault fault) {
        List<String> inZone = fleet.machinesIn(Set.of(scenario.zoneNames().get(0)));
        return inZone.subList(0, Math.min(fault.machines(), inZone.size()));
    }

    private Set<String> firstRegion(List<String> zones) {
        Set<String> region = new HashSet<>();
        for (int zone = 0; zone < zones.size(); zone += scenario.regions()) {
            region.add(zones.get(zone));
        }
        return region;
    }

    private void failMachines(Fault fault, List<String> machines) {
        fleet.setFailed(machines, true);
        endAfter(fault, () -> fleet.setFailed(machines, false));
    }

    private void endAfter(Fault fault, Runnable end) {
        if (fault.forSeconds() > 0) {
            loop.after(fault.forSeconds(), end);
        }
    }

    /** Updates the lowest number of running tasks and the recovery time of each fault. */
    void update() {
        int running = rules.running();
        for (ActiveFault active : activeFaults) {
            if (active.recoveredSeconds < 0) {
                active.lowestRunning = Math.min(active.lowestRunning, running);
                boolean fell = active.lowestRunning < RECOVERED_SHARE * active.runningBefore;
                if (fell && running >= RECOVERED_SHARE * active.runningBefore) {
                    active.recoveredSeconds = loop.now() - active.since;
                }
            }
        }
    }

    /** The effect of each fault; the recovery time is 0 if hardly any task was lost. */
    List<FaultRecord> records() {
        List<FaultRecord> records = new ArrayList<>();
        for (ActiveFault active : activeFaults) {
            boolean fell = active.lowestRunning < RECOVERED_SHARE * active.runningBefore;
            records.add(
                    new FaultRecord(
                            active.fault.name(),
                            active.fault.kind().name().toLowerCase(Locale.ROOT),
                            active.fault.atSeconds(),
                            active.runningBefore,
                            active.lowestRunning,
                            fell ? active.recoveredSeconds : 0));
        }
        return records;
    }
}
