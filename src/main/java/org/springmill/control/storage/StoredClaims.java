package org.springmill.control.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.springmill.protocol.KeyValueStoreMessages.Page;

/**
 * Reads the machines of all live claims from the round log, on a controller that does not lead. The
 * log may be compacted meanwhile: a claim that is carried forward is then read twice, and one that
 * has just ended may still be found, but none is missed.
 */
public final class StoredClaims {
    private final KeyValueStoreClient store;
    private List<Consumer<Optional<ClaimedMachines>>> waiting = new ArrayList<>();
    private boolean isReading;

    /** The machines of live claims by job. */
    public record ClaimedMachines(Map<String, TreeSet<String>> machinesByJob) {
        /** The machines that hold claims of a job, in the order of their names. */
        public List<String> of(String job) {
            return List.copyOf(machinesByJob.getOrDefault(job, new TreeSet<>()));
        }
    }

    /** Creates a reader of the store's round log. */
    public StoredClaims(KeyValueStoreClient store) {
        this.store = store;
    }

    /**
     * Reads all claims that were committed before this call. Calls made during a read share the
     * next one.
     *
     * @param done receives the machines, or nothing if the key-value store could not be read
     */
    public void read(Consumer<Optional<ClaimedMachines>> done) {
        waiting.add(done);
        if (!isReading) {
            beginRead();
        }
    }

    private void beginRead() {
        isReading = true;
        List<Consumer<Optional<ClaimedMachines>>> served = waiting;
        waiting = new ArrayList<>();
        store.list(RoundCodec.PREFIX, page -> pageRead(page, served));
    }

    private void pageRead(Page page, List<Consumer<Optional<ClaimedMachines>>> served) {
        isReading = false;
        Optional<ClaimedMachines> claimed =
                Optional.ofNullable(page).map(StoredClaims::machinesByJob);
        served.forEach(done -> done.accept(claimed));
        if (!isReading && !waiting.isEmpty()) {
            beginRead();
        }
    }

    private static ClaimedMachines machinesByJob(Page page) {
        RoundIndex index = new RoundIndex();
        page.entries().forEach(index::replay);
        Map<String, TreeSet<String>> machinesByJob = new HashMap<>();
        for (Claim claim : index.recover().live()) {
            machinesByJob
                    .computeIfAbsent(claim.task().job(), job -> new TreeSet<>())
                    .add(claim.machine());
        }
        return new ClaimedMachines(machinesByJob);
    }
}
