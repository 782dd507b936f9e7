package org.springmill.control.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.autoscaling.PackingFixtures;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.storage.Claim;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;

/**
 * Checks when a task counts as using stranded CPUs, which no replica with GPUs could use. The
 * machine has 96 CPUs, 8 GPUs and 768 GB; the largest replica takes 16 CPUs, 4 GPUs and 100 GB.
 */
class StrandedCpusTest {
    private static final MachineType TYPE = PackingFixtures.type("large", 10, "a");
    private static final Submission LARGEST = PackingFixtures.job(1).size(16, 4, 100).build();

    private static Machine running(double cpus, double gpus) {
        Machine machine = new Machine("host-000001", 1, 0);
        machine.describe("10.1.0.1:9000", TYPE, "a", false);
        if (cpus > 0) {
            Submission spec = PackingFixtures.job(1).size(cpus, gpus, 100).build();
            Claim claim = Claim.decide(new TaskId(spec.id(), 0), machine.name(), 1);
            machine.add(new TaskAttempt(claim, new Job(spec, 1), machine, 0));
        }
        return machine;
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "beside a replica there are CPUs to spare,      16, 4, 1,  0, 1,   true",
        "the last CPUs to spare,                        16, 4, 64, 0, 1,   true",
        "one CPU more than can be spared,               16, 4, 65, 0, 1,   false",
        "the memory would be missing for a replica,     16, 4, 1,  0, 600, false",
        "all GPUs are in use,                           32, 8, 64, 0, 1,   true",
        "the task takes GPUs itself,                    16, 4, 1,  1, 1,   false",
        "only a task without GPUs runs there,           16, 0, 1,  0, 1,   false",
        "an empty machine could be returned instead,    0,  0, 1,  0, 1,   false",
    })
    void taskUsesStrandedCpus(
            String description,
            double usedCpus,
            double usedGpus,
            double cpus,
            double gpus,
            double memoryGb,
            boolean expected) {
        Submission spec = PackingFixtures.job(1).size(cpus, gpus, memoryGb).build();
        Machine machine = running(usedCpus, usedGpus);
        assertEquals(expected, MachineScore.usesStrandedCpus(spec, machine, LARGEST), description);
        assertFalse(MachineScore.usesStrandedCpus(spec, machine, null), description);
    }
}
