package org.springmill.control.autoscaling;

import java.util.List;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.JobKind;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;

/** Machine types and jobs for the tests of packing. */
public final class PackingFixtures {
    private PackingFixtures() {}

    /** A type with 96 CPUs, 8 GPUs and 768 GB; its spot price is half of the on-demand price. */
    public static MachineType type(String name, double price, String... zones) {
        return new MachineType(name, 96, 8, 768, 200, 1, price, price / 2, 45, List.of(zones));
    }

    /** A job whose tasks each need one CPU and 1 GB by default. */
    public static JobBuilder job(int tasks) {
        return new JobBuilder(tasks);
    }

    /** Builds a job with the given differences from the defaults. */
    public static final class JobBuilder {
        private final int tasks;
        private double cpus = 1;
        private double gpus;
        private double memoryGb = 1;
        private String zone;
        private boolean spread;
        private boolean spot;

        private JobBuilder(int tasks) {
            this.tasks = tasks;
        }

        public JobBuilder size(double newCpus, double newGpus, double newMemoryGb) {
            cpus = newCpus;
            gpus = newGpus;
            memoryGb = newMemoryGb;
            return this;
        }

        JobBuilder zone(String only) {
            zone = only;
            return this;
        }

        JobBuilder spread() {
            spread = true;
            return this;
        }

        JobBuilder spot() {
            spot = true;
            return this;
        }

        public Submission build() {
            return new Submission(
                    "run-000001",
                    "class",
                    "team",
                    JobKind.ARRAY,
                    Priority.NORMAL,
                    tasks,
                    cpus,
                    gpus,
                    memoryGb,
                    "image",
                    1,
                    null,
                    zone,
                    false,
                    spread,
                    spot,
                    60,
                    0,
                    0,
                    null,
                    List.of());
        }
    }
}
