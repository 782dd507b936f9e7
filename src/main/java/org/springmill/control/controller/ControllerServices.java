package org.springmill.control.controller;

import java.util.Optional;
import org.springmill.control.admission.Congestion;
import org.springmill.control.cluster.MachineTypeCatalog;
import org.springmill.control.history.HistoryMembership;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.membership.Peers;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;

/**
 * The components that live as long as the process and are shared by all terms of its controller.
 *
 * @param historyMembership empty unless a retention time of the job history is configured
 */
record ControllerServices(
        KeyValueStoreClient store,
        HttpClient http,
        EventLoop loop,
        Settings settings,
        Timeouts timeouts,
        Leadership leadership,
        JobDirectory directory,
        Peers peers,
        MachineTypeCatalog catalog,
        Metrics metrics,
        Congestion congestion,
        Optional<HistoryMembership> historyMembership) {}
