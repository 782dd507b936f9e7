package org.springmill.control.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;

/** The machine types that the cloud offers; empty until the cloud has answered once. */
public final class MachineTypeCatalog {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);

    /** Interval of reads in leases; long, since prices change slowly. */
    private static final double READ_INTERVAL_LEASES = 4;

    /** Retries per lease. Frequent, since no job can be validated while no type is known. */
    private static final double RETRIES_PER_LEASE = 14;

    private static final double TIMEOUTS_PER_LEASE = 5;

    private final HttpClient http;
    private final EventLoop loop;
    private final Settings settings;
    private Map<String, MachineType> types = Map.of();

    /** An empty catalog; {@link #start} fills it. */
    public MachineTypeCatalog(HttpClient http, EventLoop loop, Settings settings) {
        this.http = http;
        this.loop = loop;
        this.settings = settings;
    }

    /** Reads the types until the cloud has answered, and at long intervals from then on. */
    public void start() {
        double leaseSeconds = settings.workers().leaseSeconds();
        http.send(
                new HttpClient.Request(
                        settings.cloudAddress(),
                        "GET",
                        CloudMessages.MACHINE_TYPES_PATH,
                        new byte[0],
                        leaseSeconds / TIMEOUTS_PER_LEASE),
                reply -> {
                    if (reply.ok()) {
                        handleResponse(reply.body());
                    }
                    loop.after(
                            isKnown()
                                    ? leaseSeconds * READ_INTERVAL_LEASES
                                    : leaseSeconds / RETRIES_PER_LEASE,
                            this::start);
                });
    }

    private void handleResponse(byte[] body) {
        try {
            List<MachineType> read = CloudMessages.decodeMachineTypes(body);
            if (!read.isEmpty()) {
                Map<String, MachineType> byName = new LinkedHashMap<>();
                read.forEach(type -> byName.put(type.name(), type));
                if (!byName.keySet().equals(types.keySet())) {
                    warnOfZonesWithoutTypes(byName.values());
                }
                types = byName;
            }
        } catch (MalformedMessageException e) {
            LOG.warn(
                    "malformed list of machine types from the cloud: {}; keeping the {} known types",
                    e.getMessage(),
                    types.size());
        }
    }

    /** A zone without machines cannot take its share of jobs that are spread over zones. */
    private void warnOfZonesWithoutTypes(Collection<MachineType> offered) {
        for (String zone : settings.zones()) {
            if (offered.stream().noneMatch(type -> type.zones().contains(zone))) {
                LOG.warn(
                        "cluster.zones: the cloud offers no machine type in zone {}; no machine"
                                + " can be rented there",
                        zone);
            }
        }
    }

    /** Whether the cloud has answered. */
    public boolean isKnown() {
        return !types.isEmpty();
    }

    /** The type of a name; null if the cloud does not offer it. */
    public MachineType get(String name) {
        return types.get(name);
    }

    /** All types, in the order of the cloud's answer. */
    public Iterable<MachineType> all() {
        return types.values();
    }

    /** Nominal boot time of the type that boots slowest; 0 while no type is known. */
    public double slowestBootSeconds() {
        double slowest = 0;
        for (MachineType type : types.values()) {
            slowest = Math.max(slowest, type.bootSeconds());
        }
        return slowest;
    }

    /** The reason why a job can never run, as shown to users; null if it can. */
    public String impossibilityReason(Submission job) {
        Settings.Team team = settings.team(job.team());
        if (team == null) {
            return "unknown team " + job.team();
        }
        int concurrentTasks = job.isService() || job.isGang() ? job.tasks() : 1;
        if (!team.withinLimit(job.cpus() * concurrentTasks, job.gpus() * concurrentTasks)) {
            return "needs more than the limit of team " + job.team();
        }
        for (MachineType type : all()) {
            if (type.fits(job)) {
                return null;
            }
        }
        return "a task fits no allowed machine type";
    }
}
