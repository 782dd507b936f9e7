package org.springmill.control.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;
import org.springmill.transport.HttpClient;
import org.springmill.transport.Loop;

/** The machine types that the cloud offers. Unknown until it has answered once. */
final class MachineTypeCatalog {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);

    private final HttpClient http;
    private final Loop loop;
    private final Settings settings;
    private Map<String, MachineType> types = Map.of();

    MachineTypeCatalog(HttpClient http, Loop loop, Settings settings) {
        this.http = http;
        this.loop = loop;
        this.settings = settings;
    }

    /** Asks until there is an answer, and now and then after that, for prices move. */
    void start() {
        double againS = settings.workers().leaseS();
        http.send(
                new HttpClient.Request(
                        settings.cloudAddress(),
                        "GET",
                        CloudMessages.TYPES,
                        new byte[0],
                        againS / 5),
                reply -> {
                    if (reply.ok()) {
                        take(reply.body());
                    }
                    loop.after(known() ? againS * 4 : againS / 14, this::start);
                });
    }

    private void take(byte[] body) {
        try {
            List<MachineType> read = CloudMessages.types(body);
            if (!read.isEmpty()) {
                Map<String, MachineType> byName = new LinkedHashMap<>();
                read.forEach(t -> byName.put(t.name(), t));
                types = byName;
            }
        } catch (BadMessageException e) {
            LOG.warn("cloud: {}", e.getMessage());
        }
    }

    boolean known() {
        return !types.isEmpty();
    }

    MachineType get(String name) {
        return types.get(name);
    }

    Iterable<MachineType> all() {
        return types.values();
    }

    /** Why a job can never run; null if it can. */
    String impossible(Submission job) {
        Settings.Team team = settings.team(job.team());
        if (team == null) {
            return "unknown team " + job.team();
        }
        int together = job.service() || job.gang() ? job.tasks() : 1;
        if (!team.withinLimit(job.cpus() * together, job.gpus() * together)) {
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
