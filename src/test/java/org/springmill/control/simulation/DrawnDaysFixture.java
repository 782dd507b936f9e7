package org.springmill.control.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** What tests of days that are drawn from a seed have in common. */
abstract class DrawnDaysFixture extends ClusterFixture {
    private static final int SHORT_JOBS_PER_STEP = 8;
    private static final double SHORT_JOB_SECONDS = 0.5;

    /** Services that were accepted and not cancelled. */
    final List<String> liveJobs = new ArrayList<>();

    SplittableRandom random;
    private int submitted;
    private double lastCrashOverAt = Double.NEGATIVE_INFINITY;

    final String nextId() {
        return String.format("run-%06d", ++submitted);
    }

    /** A controller that a user asks. */
    int drawController() {
        return random.nextInt(CONTROLLERS);
    }

    /** Submits jobs one after the other that end soon, so that rounds become obsolete. */
    final void runShortJobs() {
        for (int job = 0; job < SHORT_JOBS_PER_STEP && mayRunShortJobs(); job++) {
            var spec = SimulatedCluster.job(nextId(), "red", "sweep", 1, 1, 0);
            cluster.submit(drawController(), spec, SHORT_JOB_SECONDS);
            cluster.run(1);
        }
    }

    /** Whether short jobs can be accepted now. */
    boolean mayRunShortJobs() {
        return true;
    }

    /** Cancels one of the services. */
    final void cancel() {
        if (!liveJobs.isEmpty()) {
            int controller = drawController();
            cluster.cancel(controller, liveJobs.remove(random.nextInt(liveJobs.size())));
        }
    }

    /** Ends a controller's process if it runs, and starts a new one within a drawn time. */
    final void crashIfUp(int controller, double maxDownSeconds) {
        if (controller >= 0 && cluster.isUp(controller)) {
            crash(controller, random.nextDouble() * maxDownSeconds);
        }
    }

    /** When the last crash of a controller is over; negative infinity before the first. */
    final double lastCrashOverAt() {
        return lastCrashOverAt;
    }

    /** Suspends a drawn machine for a drawn time. */
    final void hangMachine(double maxHangSeconds) {
        List<SimWorker> machines = machines();
        if (machines.isEmpty()) {
            return;
        }
        SimWorker machine = machines.get(random.nextInt(machines.size()));
        machine.setHung(true);
        cluster.clock().after(random.nextDouble() * maxHangSeconds, () -> machine.setHung(false));
    }

    /** Ends a controller's process, and starts a new one later. */
    final void crash(int controller, double downSeconds) {
        lastCrashOverAt = Math.max(lastCrashOverAt, cluster.clock().now() + downSeconds);
        cluster.kill(controller);
        cluster.clock().after(downSeconds, () -> startAgain(controller));
    }

    private void startAgain(int controller) {
        if (!cluster.isUp(controller)) {
            cluster.restart(controller);
        }
    }
}
