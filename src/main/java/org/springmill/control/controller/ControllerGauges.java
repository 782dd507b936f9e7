package org.springmill.control.controller;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.springmill.control.admission.ActiveJobs;
import org.springmill.control.admission.AdmissionControl;
import org.springmill.control.admission.AdmissionReason;
import org.springmill.control.admission.Congestion;
import org.springmill.control.admission.StoreRateShares;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.membership.CancellationFreshness;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.transport.EventLoop;

/** Adds the gauges of a controller, including those that only a leader has a value for. */
final class ControllerGauges {
    private final ControllerServices services;
    private final Metrics metrics;

    ControllerGauges(ControllerServices services) {
        this.services = services;
        metrics = services.metrics();
    }

    /** Adds the gauges of leadership, key-value store and cancellations. */
    void addStoreGauges(CancellationFreshness cancellationFreshness) {
        metrics.gauge("leading", services.leadership(), l -> l.mayPlace() ? 1 : 0);
        metrics.gauge("leading_term", services.leadership(), l -> l.mayPlace() ? l.term() : 0);
        metrics.gauge("state_service_up", services.store(), s -> s.isReachable() ? 1 : 0);
        metrics.gauge(
                "state_service_queued_requests", services.store(), KeyValueStoreClient::backlog);
        metrics.gauge(
                "cancellation_staleness_seconds",
                cancellationFreshness,
                CancellationFreshness::ageSeconds);
    }

    /** Adds the gauges and counters of jobs and of their admission. */
    void addJobGauges(ActiveJobs activeJobs, AdmissionControl admission, StoreRateShares shares) {
        JobDirectory directory = services.directory();
        Congestion congestion = services.congestion();
        EventLoop loop = services.loop();
        metrics.gauge("jobs", directory, d -> d.all().size());
        metrics.gauge("live_jobs", activeJobs, ActiveJobs::jobCount);
        metrics.gauge("job_memory_bytes", admission, AdmissionControl::usedBytes);
        metrics.gauge("job_memory_bound_bytes", admission, AdmissionControl::boundBytes);
        metrics.gauge("congested_queues", congestion, c -> c.queues(loop.now()));
        metrics.gauge("state_service_share", shares, StoreRateShares::current);
        for (AdmissionReason reason : AdmissionReason.values()) {
            String name = "submissions_refused_" + reason.name().toLowerCase(Locale.ROOT);
            metrics.counter(name, admission, a -> a.refusedCount(reason));
        }
        metrics.gauge("cancellations", directory, JobDirectory::cancellationCount);
        metrics.gauge("moved_jobs_in_memory", directory, JobDirectory::archivedCount);
    }

    /** Adds the gauges that only a leader has a value for; any other controller shows 0. */
    void addLeaderGauges(Supplier<Optional<Leader>> leader) {
        addLeaderGauge("job_records_to_move", leader, Leader::recordsToArchive);
        addLeaderGauge("tasks_waiting", leader, Leader::waitingTasks);
        addLeaderGauge("tasks_running", leader, Leader::runningTasks);
        addLeaderGauge("machines_up", leader, Leader::machinesUp);
        addLeaderGauge("machines_late", leader, Leader::overdueBoots);
        addLeaderGauge("rounds_stored", leader, Leader::storedRounds);
    }

    private void addLeaderGauge(
            String name, Supplier<Optional<Leader>> leader, ToDoubleFunction<Leader> value) {
        metrics.gauge(name, leader, current -> current.get().map(value::applyAsDouble).orElse(0.0));
    }
}
