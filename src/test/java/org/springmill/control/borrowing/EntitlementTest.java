package org.springmill.control.borrowing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Settings.Team;

/** Checks which resources other teams may recall from a team. */
class EntitlementTest {
    @ParameterizedTest
    @CsvSource({
        // guaranteed CPUs and GPUs, used CPUs and GPUs, lost CPUs and GPUs, whether that is allowed
        "0, 8, 16, 16, 0, 8, true",
        "0, 8, 16, 16, 0, 9, false",
        "0, 8, 4, 4, 0, 1, false",
        "8, 8, 40, 8, 1, 1, false",
        "8, 8, 8, 16, 1, 1, false",
        "8, 8, 9, 9, 1, 1, true",
        "8, 8, 40, 8, 1, 0, true",
        "8, 0, 4, 30, 1, 1, false",
        "0, 8, 30, 8, 1, 0, true",
        "0, 8, 30, 4, 1, 0, false",
        "0, 0, 1, 1, 1, 1, true",
    })
    void eachGuaranteedResourceIsKeptByItself(
            double guaranteedCpus,
            double guaranteedGpus,
            double cpus,
            double gpus,
            double lostCpus,
            double lostGpus,
            boolean allowed) {
        Team team = new Team("t", guaranteedCpus, 0, guaranteedGpus, 0);
        Resources runs = new Resources(cpus, gpus, 0);
        Resources loss = new Resources(lostCpus, lostGpus, 0);
        assertEquals(allowed, Entitlement.keepsEntitlement(team, runs, loss));
    }
}
