package org.springmill.sim;

/** A task on a simulated machine. */
final class SimTask {
    final String id;
    final long attempt;
    final double commandedAt;
    String phase = "pulling";
    String cause;

    /** When it started to run there, from its last checkpoint; NaN before. */
    double runningSince = Double.NaN;

    /** When the first halt command for it was executed; infinite if none was. */
    double haltedAt = Double.POSITIVE_INFINITY;

    SimTask(String id, long attempt, double commandedAt) {
        this.id = id;
        this.attempt = attempt;
        this.commandedAt = commandedAt;
    }

    boolean onMachine() {
        return phase.equals("running") || phase.equals("saving");
    }

    boolean over() {
        return phase.equals("ended");
    }
}
