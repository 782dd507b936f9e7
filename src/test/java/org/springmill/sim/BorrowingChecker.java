package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.control.storage.CompletedTasks;
import org.springmill.protocol.Settings;

/**
 * Checks every 50 ms, by the tasks on the machines and the committed recalls, that no task is
 * halted without a recall that names it, that halts for another team leave each team its guarantee,
 * and that the GPUs of a machine are not reserved twice. {@link InvariantChecker} checks team
 * limits and tasks that run on two machines.
 */
public final class BorrowingChecker {
    private static final double INTERVAL_SECONDS = 0.05;
    private static final double TOLERANCE = 1e-6;
    private static final String WITHOUT_RECALL = " without a recall";
    private static final String PROMISED = " GPUs are reserved or used on ";
    private static final String PREFIX = "recall/";

    /**
     * How long a leader may still count tasks that were lost with their machine: three heartbeat
     * intervals.
     */
    private static final double LOSS_UNKNOWN_SECONDS = 3 * SimSettings.REPORT_SECONDS;

    /**
     * A task that was halted for a preemption notice within this time may have been running when a
     * recall was decided.
     */
    private static final double DECIDED_BEFORE_SECONDS = 1;

    /**
     * Time after a recall has left the key-value store within which the task that it made room for
     * starts on the machine.
     */
    private static final double UNTIL_STARTED_SECONDS = 2;

    private final SimulatedCluster cluster;
    private final Settings settings = SimSettings.of(0, SimSettings.STATE_LIMITS);
    private final Set<String> violations = new HashSet<>();

    /** All recalls seen so far, by victim and machine. */
    private final Map<String, List<JsonNode>> recallsByVictim = new HashMap<>();

    private final Set<String> recallKeys = new HashSet<>();
    private final Set<SimWorker.Task> haltsSeen = new HashSet<>();

    /** Tasks on machines at the last check. */
    private Map<String, SimWorker.Task> lastSeen = new HashMap<>();

    /** When tasks that were neither halted nor over vanished from their machines. */
    private final Map<SimWorker.Task, Double> vanishedAt = new HashMap<>();

    /** When tasks were halted on machines with a preemption notice. */
    private final Map<SimWorker.Task, Double> vacatedAt = new HashMap<>();

    /** When each recall was last found in the key-value store. */
    private final Map<String, Double> recordedAt = new HashMap<>();

    /** Tasks that were halted for their own team's work, with the key of the recall. */
    private final Map<SimWorker.Task, String> ownHalts = new HashMap<>();

    private boolean draining;
    private int haltsForOthers;
    private long samples;

    private record Halt(SimWorker machine, SimWorker.Task task) {}

    /** Starts the checks of a cluster. */
    public BorrowingChecker(SimulatedCluster cluster) {
        this.cluster = cluster;
        cluster.keyValueStore().onCommit(this::committed);
        watch();
    }

    /** The violations found so far. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** The number of checks so far. */
    public long samples() {
        return samples;
    }

    /** The number of tasks that were halted by recalls for another team. */
    public int haltsForOthers() {
        return haltsForOthers;
    }

    /** The number of recalls committed so far. */
    public int recalls() {
        return recallKeys.size();
    }

    /** The number of recalls in the key-value store now. */
    public int recorded() {
        return records().size();
    }

    /**
     * Removes the violations that controllers of versions without recalls cause: they halt tasks
     * without a recall, and use capacity that a recall has reserved, since they do not read its
     * record.
     */
    public void olderVersionsTookPart() {
        violations.removeIf(violation -> violation.contains(WITHOUT_RECALL));
        violations.removeIf(violation -> violation.contains(PROMISED));
    }

    /**
     * From now on halts without a recall are allowed, since machines that are mostly free may be
     * drained.
     */
    public void machinesMayBeDrained() {
        draining = true;
    }

    /** Whether the key-value store has a recall on a machine now. */
    public boolean isRecalledOn(SimWorker machine) {
        return records().stream().anyMatch(recall -> machine(recall).equals(machine.name()));
    }

    private void watch() {
        samples++;
        List<JsonNode> records = records();
        records.forEach(this::remember);
        double now = cluster.clock().now();
        records.forEach(recall -> recordedAt.put(recall.path(0).asText(), now));
        noteVanished();
        checkHalts();
        checkPromises(records);
        cluster.clock().after(INTERVAL_SECONDS, this::watch);
    }

    private List<JsonNode> records() {
        List<JsonNode> records = new ArrayList<>();
        for (String key : cluster.keyValueStore().keysUnder(PREFIX)) {
            cluster.keyValueStore().value(key).path("recalls").forEach(records::add);
        }
        return records;
    }

    private void remember(JsonNode recall) {
        if (recallKeys.add(recall.path(0).asText())) {
            for (String victim : victims(recall)) {
                recallsByVictim
                        .computeIfAbsent(victim + "@" + machine(recall), v -> new ArrayList<>())
                        .add(recall);
            }
        }
    }

    /** Records recalls on commit, since one may be settled before the next check. */
    private void committed(JsonNode transaction) {
        for (JsonNode write : transaction.path("writes")) {
            if (write.path("write").asText().startsWith(PREFIX)) {
                write.path("value").path("recalls").forEach(this::remember);
            }
        }
    }

    private static String machine(JsonNode recall) {
        return recall.path(2).asText();
    }

    /**
     * Decodes the victims of a recall, which are stored as pairs of a job and a set of task
     * numbers.
     */
    private static Set<String> victims(JsonNode recall) {
        Set<String> victims = new HashSet<>();
        JsonNode stored = recall.path(8);
        for (int i = 0; i + 1 < stored.size(); i += 2) {
            BitSet tasks = new BitSet();
            CompletedTasks.decode(stored.path(i + 1).asText(), tasks);
            String job = stored.path(i).asText();
            tasks.stream().forEach(task -> victims.add(job + "/" + task));
        }
        return victims;
    }

    private void noteVanished() {
        double now = cluster.clock().now();
        Map<String, SimWorker.Task> seen = new HashMap<>();
        for (SimWorker machine : cluster.cloud().machines().values()) {
            for (SimWorker.Task task : machine.tasks()) {
                seen.put(task.id + "#" + task.attempt, task);
            }
        }
        lastSeen.forEach(
                (key, task) -> {
                    boolean halted = task.haltedAt < Double.POSITIVE_INFINITY;
                    if (!seen.containsKey(key) && !halted && !task.over()) {
                        vanishedAt.put(task, now);
                    }
                });
        vanishedAt.values().removeIf(at -> now - at > LOSS_UNKNOWN_SECONDS);
        vacatedAt.values().removeIf(at -> now - at > DECIDED_BEFORE_SECONDS);
        lastSeen = seen;
    }

    private void checkHalts() {
        List<Halt> fresh = new ArrayList<>();
        for (SimWorker machine : cluster.cloud().machines().values()) {
            for (SimWorker.Task task : machine.tasks()) {
                boolean halted = task.haltedAt < Double.POSITIVE_INFINITY;
                if (!halted || cancelled(task) || !haltsSeen.add(task)) {
                    continue;
                }
                if (machine.noNotice()) {
                    fresh.add(new Halt(machine, task));
                } else {
                    vacatedAt.put(task, cluster.clock().now());
                }
            }
        }
        Set<String> teams = new HashSet<>();
        for (Halt halt : fresh) {
            String victim = halt.task().id + "@" + halt.machine().name();
            List<JsonNode> recalls = recallsByVictim.getOrDefault(victim, List.of());
            if (recalls.isEmpty() && draining) {
                continue;
            }
            if (recalls.isEmpty()) {
                violations.add("halt of " + victim + WITHOUT_RECALL);
                continue;
            }
            JsonNode recall = recalls.get(recalls.size() - 1);
            String team = team(halt.task().id);
            if (team.equals(teamOfJob(recall.path(3).asText()))) {
                ownHalts.put(halt.task(), recall.path(0).asText());
            } else {
                haltsForOthers++;
                teams.add(team);
            }
        }
        teams.forEach(this::checkEntitlement);
    }

    private boolean cancelled(SimWorker.Task task) {
        JobHistory job = cluster.invariants().job(task.id);
        return job == null || job.cancelledBy(cluster.clock().now()) || job.cancelRequested();
    }

    private String team(String task) {
        return cluster.invariants().job(task).team();
    }

    private String teamOfJob(String job) {
        return team(job + "/0");
    }

    /**
     * Checks a team whose tasks were halted for another team: its remaining tasks must use at least
     * its guarantee, in each resource for which it has one. Tasks that vanished with a machine
     * still count for {@link #LOSS_UNKNOWN_SECONDS}, since a leader may not know of the loss.
     */
    private void checkEntitlement(String name) {
        TeamUsage left = TeamUsage.NONE;
        Set<SimWorker.Task> counted = new HashSet<>(lastSeen.values());
        counted.addAll(vanishedAt.keySet());
        counted.addAll(ownHalts.keySet());
        for (SimWorker.Task task : counted) {
            boolean stays =
                    vacatedAt.containsKey(task)
                            || isReplacedByOwnTeam(task)
                            || (task.haltedAt == Double.POSITIVE_INFINITY && !task.over());
            JobHistory job = cluster.invariants().job(task.id);
            if (stays && job != null && job.team().equals(name)) {
                left = left.plus(job.job());
            }
        }
        Settings.Team team = settings.team(name);
        boolean cpusStay = team.cpus() == 0 || left.cpus() >= team.cpus() - TOLERANCE;
        boolean gpusStay = team.gpus() == 0 || left.gpus() >= team.gpus() - TOLERANCE;
        if (!cpusStay || !gpusStay) {
            violations.add(
                    name + " has less than its guarantee after halts for another team: " + left);
        }
    }

    /**
     * Whether a task was preempted by its own team's work, for which its capacity is still
     * reserved.
     */
    private boolean isReplacedByOwnTeam(SimWorker.Task task) {
        Double lastRecorded = recordedAt.get(ownHalts.getOrDefault(task, ""));
        return lastRecorded != null && cluster.clock().now() - lastRecorded < UNTIL_STARTED_SECONDS;
    }

    private void checkPromises(List<JsonNode> records) {
        Map<String, Double> promised = new HashMap<>();
        Set<String> victims = new HashSet<>();
        for (JsonNode recall : records) {
            promised.merge(machine(recall), recall.path(5).asDouble(), Double::sum);
            for (String victim : victims(recall)) {
                if (!victims.add(victim + "@" + machine(recall))) {
                    violations.add(victim + " is named by two recalls at the same time");
                }
            }
        }
        promised.forEach((name, gpus) -> checkPromises(name, gpus, victims));
    }

    private void checkPromises(String name, double promised, Set<String> victims) {
        SimWorker machine = cluster.cloud().machines().get(name);
        if (machine == null) {
            return;
        }
        double gpus = promised;
        for (SimWorker.Task task : machine.tasks()) {
            boolean leaves =
                    task.over()
                            || task.haltedAt < Double.POSITIVE_INFINITY
                            || victims.contains(task.id + "@" + name)
                            || cancelled(task);
            JobHistory job = cluster.invariants().job(task.id);
            gpus += leaves || job == null ? 0 : job.job().path("cards").asDouble();
        }
        if (gpus > SimCloud.TYPES.get(machine.type()).gpus() + TOLERANCE) {
            violations.add(gpus + PROMISED + name);
        }
    }
}
