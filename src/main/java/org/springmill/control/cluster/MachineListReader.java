package org.springmill.control.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.CloudMessages.ListedMachine;
import org.springmill.protocol.CloudMessages.MachinePage;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.transport.HttpClient.Reply;

/** Reads the cloud's list of machines page by page. */
public final class MachineListReader {
    private static final Logger LOG = LoggerFactory.getLogger(MachineListReader.class);

    private final CloudClient cloud;

    /**
     * Creates a reader.
     *
     * @param cloud sends the requests; once it is closed, no list is read to its end
     */
    public MachineListReader(CloudClient cloud) {
        this.cloud = cloud;
    }

    /**
     * Reads one list.
     *
     * @param done gets the machines of all pages; empty if a page could not be read
     */
    public void read(Consumer<Optional<List<ListedMachine>>> done) {
        requestPage(null, new ArrayList<>(), done);
    }

    /**
     * @param after the last machine that was read; null for the first page
     * @param found the machines of the previous pages
     */
    private void requestPage(
            String after, List<ListedMachine> found, Consumer<Optional<List<ListedMachine>>> done) {
        if (!cloud.isClosed()) {
            cloud.get(CloudMessages.listPath(after), reply -> pageReceived(found, reply, done));
        }
    }

    private void pageReceived(
            List<ListedMachine> found, Reply reply, Consumer<Optional<List<ListedMachine>>> done) {
        Optional<MachinePage> parsed = parse(reply);
        if (parsed.isEmpty()) {
            done.accept(Optional.empty());
            return;
        }
        MachinePage page = parsed.get();
        found.addAll(page.machines());
        if (page.more() && !page.machines().isEmpty()) {
            String last = page.machines().get(page.machines().size() - 1).name();
            requestPage(last, found, done);
            return;
        }
        done.accept(Optional.of(found));
    }

    /** Returns empty if the reply is an error or malformed. */
    private static Optional<MachinePage> parse(Reply reply) {
        if (!reply.ok()) {
            return Optional.empty();
        }
        try {
            return Optional.of(CloudMessages.decodeMachinePage(reply.body()));
        } catch (MalformedMessageException e) {
            LOG.warn(
                    "ignoring the cloud's machine list, reading it again: malformed page: {}",
                    e.getMessage());
            return Optional.empty();
        }
    }
}
