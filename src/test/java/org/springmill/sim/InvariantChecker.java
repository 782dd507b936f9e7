package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.protocol.Settings;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * The protocol's invariants, watched from outside: by what machines do and by what users are told.
 * Whatever is broken is noted once, under the rule's name.
 */
final class InvariantChecker {
    /** A job waits no longer beside room that fits, once all troubles are over. */
    private static final double WAITS_S = 90;

    /** Nobody goes without an answer for longer, once all troubles are over. */
    private static final double ANSWERED_S = 75;

    /** Nor for longer than this at any time while most others get theirs. */
    private static final double FORGOTTEN_S = 90;

    private static final double EVERY_S = 0.25;
    private static final List<String> REQUIRED =
            List.of(
                    "nameId",
                    "grist",
                    "crew",
                    "shape",
                    "urgency",
                    "sacks",
                    "vcpus",
                    "cards",
                    "memGb",
                    "mould",
                    "pullGb",
                    "samePlace",
                    "apart",
                    "loaner",
                    "expectS",
                    "stashEveryS",
                    "stashS");

    private final VirtualClock clock;
    private final SimCloud cloud;
    private final Settings settings;
    private final Map<String, Told> jobs = new LinkedHashMap<>();
    private final Set<String> doneTasks = new HashSet<>();
    private final Set<String> broken = new LinkedHashSet<>();
    private final List<String> startsAfterCancel = new ArrayList<>();
    private double calmSince = Double.POSITIVE_INFINITY;
    private boolean polled;

    /** What a job's user has asked for and was told, by any controller. */
    private static final class Told {
        private final JsonNode job;

        /** When its user was first told that it is accepted. */
        private double accepted = Double.POSITIVE_INFINITY;

        private double ended = Double.POSITIVE_INFINITY;
        private String end;
        private boolean cancelAsked;
        private double answered = Double.NEGATIVE_INFINITY;
        private double waitsSince = Double.POSITIVE_INFINITY;

        Told(JsonNode job) {
            this.job = job;
        }

        /** Its user asked for its end, or for that of a job that it needs. */
        boolean cancelAsked(Map<String, Told> all) {
            return cancelAsked || needed().stream().anyMatch(id -> all.get(id).cancelAsked(all));
        }

        /** Its user was told by then that a job before it is cancelled. */
        boolean orphanedBy(double time, Map<String, Told> all) {
            return needed().stream()
                    .map(all::get)
                    .anyMatch(n -> n.cancelledBy(time) || n.orphanedBy(time, all));
        }

        private List<String> needed() {
            List<String> ids = new ArrayList<>();
            job.path("waitsOn").forEach(id -> ids.add(id.asText()));
            return ids;
        }

        boolean cancelledBy(double time) {
            return "cancelled".equals(end) && ended <= time;
        }
    }

    InvariantChecker(VirtualClock clock, SimCloud cloud, Settings settings) {
        this.clock = clock;
        this.cloud = cloud;
        this.settings = settings;
    }

    List<String> broken() {
        return List.copyOf(broken);
    }

    List<String> startsAfterCancel() {
        return startsAfterCancel;
    }

    /**
     * From now on no trouble is in play: work has to go on, and every question is answered before
     * long.
     */
    void calm() {
        calmSince = clock.now();
    }

    JsonNode job(String id) {
        Told told = jobs.get(id);
        return told == null ? null : told.job;
    }

    /** From now on users ask about all their jobs, so that one without an answer is forgotten. */
    void polled() {
        polled = true;
    }

    /** Accepted jobs that are not over and have tasks that are neither done nor on a machine. */
    List<String> unserved() {
        return unfinished().stream().filter(id -> waits(id, jobs.get(id).job)).toList();
    }

    /** Jobs that users may still ask about: accepted and, as far as they know, not over. */
    List<String> unfinished() {
        return jobs.entrySet().stream()
                .filter(e -> e.getValue().accepted <= clock.now() && e.getValue().end == null)
                .map(Map.Entry::getKey)
                .toList();
    }

    private void breaks(String rule, String what) {
        broken.add(rule + ' ' + what);
    }

    /** A job accepted before this cluster began, with what is done of it. */
    void assume(JsonNode job, int... done) {
        String id = job.path("nameId").asText();
        jobs.computeIfAbsent(id, unknown -> new Told(job)).accepted = Double.NEGATIVE_INFINITY;
        for (int task : done) {
            doneTasks.add(id + '/' + task);
        }
    }

    /** A user is about to send a request. */
    void asks(Request request) {
        if (request.path().equals("/submissions")) {
            JsonNode job = body(request);
            if (job != null && job.path("nameId").isTextual()) {
                Told known = jobs.get(job.path("nameId").asText());
                if (known == null || known.accepted == Double.POSITIVE_INFINITY) {
                    jobs.put(job.path("nameId").asText(), new Told(job));
                }
            }
        } else if (request.path().endsWith("/withdraw") && jobs.containsKey(idOf(request))) {
            jobs.get(idOf(request)).cancelAsked = true;
        }
    }

    private static JsonNode body(Request request) {
        try {
            JsonNode job = SimState.parse(request.body());
            return job.isObject() ? job : null;
        } catch (IllegalStateException e) {
            return null;
        }
    }

    private static String idOf(Request request) {
        String[] parts = request.path().split("/");
        return parts.length > 2 ? parts[2] : "";
    }

    /** A user gets an answer, to a request sent at that time. */
    void told(Request request, double sentAt, Reply reply) {
        boolean submission = request.path().equals("/submissions");
        if (!submission && !request.path().startsWith("/submissions/")) {
            return;
        }
        JsonNode sent = submission ? body(request) : null;
        String id = submission ? sent == null ? "" : sent.path("nameId").asText() : idOf(request);
        Told told = jobs.get(id);
        int status = reply.status();
        if (told == null) {
            if (status == 200 || status == 201) {
                breaks("invented", request.path());
            }
            return;
        }
        boolean accepted = told.accepted <= sentAt;
        if (accepted
                && (status == 404
                        || (submission
                                && sent.equals(told.job)
                                && (status == 400 || status == 422)))) {
            breaks("forgotten", id + " answered " + status);
        }
        if (status != 200 && status != 201) {
            return;
        }
        told.answered = clock.now();
        if (submission && told.accepted == Double.POSITIVE_INFINITY) {
            told.accepted = clock.now();
            String why = impossible(sent);
            if (why != null) {
                breaks("accepted", id + ": " + why);
            }
        } else if (told.accepted == Double.POSITIVE_INFINITY) {
            // Its user heard of it from a poll before the submission was answered.
            told.accepted = clock.now();
        }
        phase(id, told, SimState.parse(reply.body()).path("phase").asText(), sentAt);
    }

    private void phase(String id, Told told, String phase, double sentAt) {
        if (phase.equals("done")) {
            for (int i = 0; i < told.job.path("sacks").asInt(); i++) {
                if (!doneTasks.contains(id + '/' + i)) {
                    breaks("not_done", id + '/' + i);
                }
            }
        }
        if (phase.equals("cancelled") && !told.cancelAsked(jobs)) {
            breaks("went_back", id + " cancelled by nobody");
        }
        boolean over = phase.equals("done") || phase.equals("cancelled");
        // Answers may overtake each other, but no question asked after an end was told may be
        // answered with less.
        if (told.end != null && !phase.equals(told.end) && (over || sentAt >= told.ended)) {
            breaks("went_back", id + " from " + told.end + " to " + phase);
        }
        if (!over && told.orphanedBy(sentAt - SimulatedCluster.CANCEL_S, jobs)) {
            breaks("orphaned", id + " is " + phase);
        }
        if (over && told.end == null) {
            told.end = phase;
            told.ended = clock.now();
        }
    }

    /** Why a job must not be accepted; null if it may. */
    private String impossible(JsonNode job) {
        for (String field : REQUIRED) {
            if (!job.hasNonNull(field)) {
                return "lacks " + field;
            }
        }
        Settings.Team team = settings.team(job.path("crew").asText());
        if (team == null) {
            return "unknown team";
        }
        int together = job.path("shape").asText().equals("sweep") ? 1 : job.path("sacks").asInt();
        if (!team.withinLimit(
                job.path("vcpus").asDouble() * together, job.path("cards").asDouble() * together)) {
            return "above the team's limit";
        }
        boolean fits =
                SimCloud.TYPES.values().stream()
                        .anyMatch(
                                type ->
                                        allowed(job, type)
                                                && (job.path("yard").isTextual()
                                                        ? settings.zones()
                                                                .contains(job.path("yard").asText())
                                                        : true));
        return fits ? null : "fits no machine";
    }

    private static boolean allowed(JsonNode job, SimCloud.Type type) {
        boolean named = !job.hasNonNull("frames");
        for (JsonNode frame : job.path("frames")) {
            named |= frame.asText().equals(type.name());
        }
        return named
                && job.path("vcpus").asDouble() <= type.cpus()
                && job.path("cards").asDouble() <= type.gpus()
                && job.path("memGb").asDouble() <= type.memoryGb();
    }

    /** A task starts on a machine. */
    void started(SimWorker on, SimWorker.Task starting) {
        String task = starting.id;
        String id = task.substring(0, task.indexOf('/'));
        Told told = jobs.get(id);
        for (SimWorker other : cloud.machines().values()) {
            if (other != on && other.runs(task)) {
                breaks("ran_twice", task + " on " + other.name() + " and " + on.name());
            }
        }
        if (told == null) {
            breaks("invented", task + " starts");
            return;
        }
        told.waitsSince = Double.POSITIVE_INFINITY;
        String needed = unfinishedNeed(told);
        if (needed != null) {
            breaks("too_early", task + " before " + needed);
        }
        if (told.cancelledBy(starting.commandedAt)) {
            startsAfterCancel.add(task);
        }
        String where = wrongPlace(on, told.job);
        if (where != null) {
            breaks("wrong_place", task + " on " + on.name() + ": " + where);
        }
    }

    /** A task that has to be done before any of a job's starts; null if there is none. */
    private String unfinishedNeed(Told told) {
        for (String id : told.needed()) {
            for (int i = 0; i < jobs.get(id).job.path("sacks").asInt(); i++) {
                if (!doneTasks.contains(id + '/' + i)) {
                    return id + '/' + i;
                }
            }
        }
        return null;
    }

    private String wrongPlace(SimWorker on, JsonNode job) {
        if (!allowed(job, SimCloud.TYPES.get(on.type()))) {
            return "type";
        }
        if (job.hasNonNull("yard") && !job.path("yard").asText().equals(on.zone())) {
            return "zone";
        }
        if (on.spot() && !job.path("loaner").asBoolean()) {
            return "spot";
        }
        String prefix = job.path("nameId").asText() + '/';
        int here = 0;
        int elsewhere = 0;
        for (SimWorker machine : cloud.machines().values()) {
            for (SimWorker.Task task : machine.tasks()) {
                if (task.onMachine() && task.id.startsWith(prefix)) {
                    here += machine.zone().equals(on.zone()) ? 1 : 0;
                    elsewhere += machine.zone().equals(on.zone()) ? 0 : 1;
                }
            }
        }
        if (job.path("samePlace").asBoolean() && elsewhere > 0) {
            return "apart from the others";
        }
        boolean tooMany =
                job.path("apart").asBoolean() && here > (job.path("sacks").asInt() + 1) / 2;
        return tooMany ? "too many in the zone" : null;
    }

    void done(String task) {
        doneTasks.add(task);
    }

    /** Looks at all machines again and again. */
    void watch() {
        double now = clock.now();
        Map<String, double[]> used = new HashMap<>();
        for (SimWorker worker : cloud.machines().values()) {
            for (SimWorker.Task task : worker.tasks()) {
                String id = task.id.substring(0, task.id.indexOf('/'));
                Told told = jobs.get(id);
                if (!task.onMachine() || told == null) {
                    continue;
                }
                double[] team =
                        used.computeIfAbsent(told.job.path("crew").asText(), t -> new double[2]);
                team[0] += told.job.path("vcpus").asDouble();
                team[1] += told.job.path("cards").asDouble();
                if (told.cancelledBy(now - SimulatedCluster.CANCEL_S)) {
                    breaks("ran_cancelled", task.id + " on " + worker.name());
                }
            }
        }
        used.forEach(
                (name, amounts) -> {
                    Settings.Team team = settings.team(name);
                    if (team == null || !team.withinLimit(amounts[0], amounts[1])) {
                        breaks("quota", name);
                    }
                });
        answers(now);
        if (calmSince < now) {
            workGoesOn(now, used);
        }
        clock.after(EVERY_S, this::watch);
    }

    private void answers(double now) {
        List<String> asking = polled ? unfinished() : List.of();
        long answered =
                asking.stream().filter(id -> now - jobs.get(id).answered < FORGOTTEN_S / 9).count();
        for (String id : asking) {
            Told told = jobs.get(id);
            boolean aloneInThis = now - told.answered > FORGOTTEN_S && 2 * answered > asking.size();
            if (aloneInThis || now - Math.max(told.answered, calmSince) > ANSWERED_S) {
                breaks("forgotten", id + " gets no answer");
            }
        }
    }

    private void workGoesOn(double now, Map<String, double[]> used) {
        jobs.forEach(
                (id, told) -> {
                    if (told.accepted > now || told.end != null) {
                        return;
                    }
                    boolean held =
                            unfinishedNeed(told) == null
                                    && waits(id, told.job)
                                    && roomFor(told.job, used.get(told.job.path("crew").asText()));
                    told.waitsSince =
                            held ? Math.min(told.waitsSince, now) : Double.POSITIVE_INFINITY;
                    if (now - Math.max(told.waitsSince, calmSince) > WAITS_S) {
                        breaks("waits", id);
                    }
                });
    }

    private boolean waits(String id, JsonNode job) {
        Collection<SimWorker> machines = cloud.machines().values();
        for (int i = 0; i < job.path("sacks").asInt(); i++) {
            String task = id + '/' + i;
            if (!doneTasks.contains(task) && machines.stream().noneMatch(m -> m.holds(task))) {
                return true;
            }
        }
        return false;
    }

    private boolean roomFor(JsonNode job, double[] used) {
        Settings.Team team = settings.team(job.path("crew").asText());
        double cpus = used == null ? 0 : used[0];
        double gpus = used == null ? 0 : used[1];
        if (!team.withinLimit(
                cpus + job.path("vcpus").asDouble(), gpus + job.path("cards").asDouble())) {
            return false;
        }
        return cloud.machines().values().stream()
                .anyMatch(
                        machine ->
                                machine.sound()
                                        && wrongPlace(machine, job) == null
                                        && hasRoom(machine, job));
    }

    private boolean hasRoom(SimWorker machine, JsonNode job) {
        SimCloud.Type type = SimCloud.TYPES.get(machine.type());
        double cpus = type.cpus() - job.path("vcpus").asDouble();
        double gpus = type.gpus() - job.path("cards").asDouble();
        double memory = type.memoryGb() - job.path("memGb").asDouble();
        for (SimWorker.Task task : machine.tasks()) {
            JsonNode other = job(task.id.substring(0, task.id.indexOf('/')));
            if (!task.over() && other != null) {
                cpus -= other.path("vcpus").asDouble();
                gpus -= other.path("cards").asDouble();
                memory -= other.path("memGb").asDouble();
            }
        }
        return cpus >= -1e-6 && gpus >= -1e-6 && memory >= -1e-6;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
