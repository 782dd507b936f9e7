package org.springmill.control.storage;

import java.util.Optional;
import java.util.function.Consumer;
import org.springmill.control.storage.KeyValueStoreClient.ReadResult;
import org.springmill.protocol.KeyValueStoreMessages.Page;

/**
 * One attempt to read the stored rounds. Its index is handed over when it is complete, and never
 * otherwise; another attempt begins with an index of its own.
 */
final class RoundLogReading {
    private final Consumer<Optional<RoundIndex>> done;
    private final RoundIndex index = new RoundIndex();
    private boolean areRoundsRead;
    private boolean isLogStartAnswered;
    private boolean isLogStartKnown;
    private boolean isOver;

    private RoundLogReading(Consumer<Optional<RoundIndex>> done) {
        this.done = done;
    }

    /**
     * Reads all rounds.
     *
     * @param done receives the index of all stored values, or nothing if they could not be read
     */
    static void start(KeyValueStoreClient store, Consumer<Optional<RoundIndex>> done) {
        RoundLogReading reading = new RoundLogReading(done);
        store.get(RoundCodec.LOG_START_KEY, reading::logStartRead);
        store.list(RoundCodec.PREFIX, reading::roundsRead);
    }

    private void logStartRead(ReadResult read) {
        isLogStartAnswered = true;
        if (read.served()) {
            isLogStartKnown = true;
            index.setLogStartVersion(read.entry() == null ? 0 : read.entry().version());
        }
        endIfDecided();
    }

    /** The rounds of all pages, or null if a page could not be read. */
    private void roundsRead(Page rounds) {
        if (rounds == null) {
            end(Optional.empty());
            return;
        }
        rounds.entries().forEach(index::replay);
        areRoundsRead = true;
        endIfDecided();
    }

    /** Only an empty log needs its start, which then is the predecessor of the first round. */
    private void endIfDecided() {
        if (!areRoundsRead) {
            return;
        }
        if (index.size() > 0 || isLogStartKnown) {
            end(Optional.of(index));
        } else if (isLogStartAnswered) {
            end(Optional.empty());
        }
    }

    private void end(Optional<RoundIndex> result) {
        if (!isOver) {
            isOver = true;
            done.accept(result);
        }
    }
}
