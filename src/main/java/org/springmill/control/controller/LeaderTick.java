package org.springmill.control.controller;

import org.springmill.control.autoscaling.Autoscaler;
import org.springmill.control.cluster.DependencyPriority;
import org.springmill.control.cluster.Machine;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.scheduling.PlacementRounds;
import org.springmill.control.workers.Reconciliation;
import org.springmill.transport.EventLoop;

/** The periodic work of a leader, from recovery until its term is closed. */
final class LeaderTick {
    private static final double TICKS_PER_HEARTBEAT = 8;

    private final EventLoop loop;
    private final double intervalSeconds;
    private final Leadership leadership;
    private final TermLifecycle lifecycle;
    private final JobCompletion jobCompletion;
    private final Autoscaler autoscaler;
    private final LeaderIsolationCheck isolationCheck;
    private final Reconciliation reconciliation;
    private final DependencyPriority dependencyPriority;
    private final MachineSweep machineSweep;
    private final PlacementRounds rounds;

    LeaderTick(
            ControllerServices services,
            TermLifecycle lifecycle,
            JobCompletion jobCompletion,
            Autoscaler autoscaler,
            LeaderIsolationCheck isolationCheck,
            Reconciliation reconciliation,
            DependencyPriority dependencyPriority,
            MachineSweep machineSweep,
            PlacementRounds rounds) {
        loop = services.loop();
        intervalSeconds = services.timeouts().heartbeatIntervalSeconds() / TICKS_PER_HEARTBEAT;
        leadership = services.leadership();
        this.lifecycle = lifecycle;
        this.jobCompletion = jobCompletion;
        this.autoscaler = autoscaler;
        this.isolationCheck = isolationCheck;
        this.reconciliation = reconciliation;
        this.dependencyPriority = dependencyPriority;
        this.machineSweep = machineSweep;
        this.rounds = rounds;
    }

    /** Runs one tick and schedules the next, unless the term is closed. */
    void run() {
        if (lifecycle.isClosed()) {
            return;
        }
        loop.after(intervalSeconds, this::run);
        // Reading the state ends the term if a peer knows a later one, which closes this leader.
        leadership.state();
        if (lifecycle.isClosed()) {
            return;
        }
        deleteMachinesWithOverdueTasks();
        if (!leadership.mayRespondToWorkers()) {
            return;
        }
        isolationCheck.resignIfIsolated();
        if (lifecycle.isClosed()) {
            return;
        }
        reconciliation.tick();
        dependencyPriority.propagatePending();
        machineSweep.run();
        if (leadership.mayPlace()) {
            autoscaler.tick();
            rounds.request();
        }
    }

    /**
     * Runs even if the leader's lease is uncertain: no other controller may know which machines run
     * cancelled tasks.
     */
    private void deleteMachinesWithOverdueTasks() {
        for (Machine machine : jobCompletion.machinesWithOverdueTasks()) {
            autoscaler.deleteMachine(machine, "a cancelled task on it cannot be stopped");
        }
    }
}
