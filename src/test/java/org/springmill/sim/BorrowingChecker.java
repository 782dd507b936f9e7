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
    private static final String OVERCOMMITTED = " GPUs are reserved or used on ";
    private static final String RECALL_KEY_PREFIX = "recall/";

    /**
     * How long a leader may still count tasks that were lost with their machine: three heartbeat
     * intervals.
     */
    private static final double LOSS_DETECTION_SECONDS = 3 * SimSettings.HEARTBEAT_SECONDS;

    /**
     * A task that was halted for a preemption notice within this time may have been running when a
     * recall was decided.
     */
    private static final double RECENT_HALT_SECONDS = 1;

    /**
     * Time after a recall has left the key-value store within which the task that it made room for
     * starts on the machine.
     */
    private static final double MAX_START_SECONDS = 2;

    private final SimulatedCluster cluster;
    private final Settings settings = SimSettings.of(0, SimSettings.STORE_LIMITS);
    private final Set<String> violations = new HashSet<>();

    /** All recalls seen so far, by victim and machine. */
    private final Map<String, List<JsonNode>> recallsByVictim = new HashMap<>();

    private final Set<String> recallKeys = new HashSet<>();
    private final Set<SimTask> checkedHalts = new HashSet<>();

    /** Tasks on machines at the last check. */
    private Map<String, SimTask> tasksAtLastCheck = new HashMap<>();

    /** When tasks that were neither halted nor over vanished from their machines. */
    private final Map<SimTask, Double> vanishedAt = new HashMap<>();

    /** When tasks were halted on machines with a preemption notice. */
    private final Map<SimTask, Double> haltedForNoticeAt = new HashMap<>();

    /** When each recall was last found in the key-value store. */
    private final Map<String, Double> lastStoredAt = new HashMap<>();

    /** Tasks that were halted for their own team's work, with the key of the recall. */
    private final Map<SimTask, String> recallsByOwnTeam = new HashMap<>();

    private boolean drainingAllowed;
    private int haltsForOthers;
    private long samples;

    private record Halt(SimWorker machine, SimTask task) {}

    /** Starts the checks of a cluster. */
    public BorrowingChecker(SimulatedCluster cluster) {
        this.cluster = cluster;
        cluster.keyValueStore().onCommit(this::recordCommittedRecalls);
        checkPeriodically();
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
    public int committedRecallCount() {
        return recallKeys.size();
    }

    /** The number of recalls in the key-value store now. */
    public int storedRecallCount() {
        return storedRecalls().size();
    }

    /**
     * Removes the violations that controllers of versions without recalls cause: they halt tasks
     * without a recall, and use capacity that a recall has reserved, since they do not read its
     * record.
     */
    public void allowControllersWithoutRecalls() {
        violations.removeIf(violation -> violation.contains(WITHOUT_RECALL));
        violations.removeIf(violation -> violation.contains(OVERCOMMITTED));
    }

    /**
     * From now on halts without a recall are allowed, since machines that are mostly free may be
     * drained.
     */
    public void allowDraining() {
        drainingAllowed = true;
    }

    /** Whether the key-value store has a recall on a machine now. */
    public boolean isRecalledOn(SimWorker machine) {
        return storedRecalls().stream().anyMatch(recall -> machine(recall).equals(machine.name()));
    }

    private void checkPeriodically() {
        samples++;
        List<JsonNode> records = storedRecalls();
        records.forEach(this::recordRecall);
        double now = cluster.clock().now();
        records.forEach(recall -> lastStoredAt.put(recall.path(0).asText(), now));
        recordVanishedTasks();
        checkHalts();
        checkReservations(records);
        cluster.clock().after(INTERVAL_SECONDS, this::checkPeriodically);
    }

    private List<JsonNode> storedRecalls() {
        List<JsonNode> records = new ArrayList<>();
        for (String key : cluster.keyValueStore().keysUnder(RECALL_KEY_PREFIX)) {
            cluster.keyValueStore().value(key).path("recalls").forEach(records::add);
        }
        return records;
    }

    private void recordRecall(JsonNode recall) {
        if (recallKeys.add(recall.path(0).asText())) {
            for (String victim : victims(recall)) {
                recallsByVictim
                        .computeIfAbsent(victim + "@" + machine(recall), v -> new ArrayList<>())
                        .add(recall);
            }
        }
    }

    /** Records recalls on commit, since one may be settled before the next check. */
    private void recordCommittedRecalls(JsonNode transaction) {
        for (JsonNode write : transaction.path("writes")) {
            if (write.path("write").asText().startsWith(RECALL_KEY_PREFIX)) {
                write.path("value").path("recalls").forEach(this::recordRecall);
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

    private void recordVanishedTasks() {
        double now = cluster.clock().now();
        Map<String, SimTask> seen = new HashMap<>();
        for (SimWorker machine : cluster.cloud().machines().values()) {
            for (SimTask task : machine.tasks()) {
                seen.put(task.id + "#" + task.attempt, task);
            }
        }
        tasksAtLastCheck.forEach(
                (key, task) -> {
                    boolean halted = task.haltedAt < Double.POSITIVE_INFINITY;
                    if (!seen.containsKey(key) && !halted && !task.over()) {
                        vanishedAt.put(task, now);
                    }
                });
        vanishedAt.values().removeIf(at -> now - at > LOSS_DETECTION_SECONDS);
        haltedForNoticeAt.values().removeIf(at -> now - at > RECENT_HALT_SECONDS);
        tasksAtLastCheck = seen;
    }

    private void checkHalts() {
        List<Halt> newHalts = new ArrayList<>();
        for (SimWorker machine : cluster.cloud().machines().values()) {
            for (SimTask task : machine.tasks()) {
                boolean halted = task.haltedAt < Double.POSITIVE_INFINITY;
                if (!halted || cancelled(task) || !checkedHalts.add(task)) {
                    continue;
                }
                if (machine.hasNoPreemptionNotice()) {
                    newHalts.add(new Halt(machine, task));
                } else {
                    haltedForNoticeAt.put(task, cluster.clock().now());
                }
            }
        }
        Set<String> teams = new HashSet<>();
        for (Halt halt : newHalts) {
            String victim = halt.task().id + "@" + halt.machine().name();
            List<JsonNode> recalls = recallsByVictim.getOrDefault(victim, List.of());
            if (recalls.isEmpty() && drainingAllowed) {
                continue;
            }
            if (recalls.isEmpty()) {
                violations.add("halt of " + victim + WITHOUT_RECALL);
                continue;
            }
            JsonNode recall = recalls.get(recalls.size() - 1);
            String team = team(halt.task().id);
            if (team.equals(teamOfJob(recall.path(3).asText()))) {
                recallsByOwnTeam.put(halt.task(), recall.path(0).asText());
            } else {
                haltsForOthers++;
                teams.add(team);
            }
        }
        teams.forEach(this::checkGuarantee);
    }

    private boolean cancelled(SimTask task) {
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
     * still count for {@link #LOSS_DETECTION_SECONDS}, since a leader may not know of the loss.
     */
    private void checkGuarantee(String name) {
        TeamUsage remaining = TeamUsage.NONE;
        Set<SimTask> counted = new HashSet<>(tasksAtLastCheck.values());
        counted.addAll(vanishedAt.keySet());
        counted.addAll(recallsByOwnTeam.keySet());
        for (SimTask task : counted) {
            boolean counts =
                    haltedForNoticeAt.containsKey(task)
                            || isReplacedByOwnTeam(task)
                            || (task.haltedAt == Double.POSITIVE_INFINITY && !task.over());
            JobHistory job = cluster.invariants().job(task.id);
            if (counts && job != null && job.team().equals(name)) {
                remaining = remaining.plus(job.job());
            }
        }
        Settings.Team team = settings.team(name);
        boolean cpusSuffice = team.cpus() == 0 || remaining.cpus() >= team.cpus() - TOLERANCE;
        boolean gpusSuffice = team.gpus() == 0 || remaining.gpus() >= team.gpus() - TOLERANCE;
        if (!cpusSuffice || !gpusSuffice) {
            violations.add(
                    name
                            + " has less than its guarantee after halts for another team: "
                            + remaining);
        }
    }

    /**
     * Whether a task was preempted by its own team's work, for which its capacity is still
     * reserved.
     */
    private boolean isReplacedByOwnTeam(SimTask task) {
        Double lastRecorded = lastStoredAt.get(recallsByOwnTeam.getOrDefault(task, ""));
        return lastRecorded != null && cluster.clock().now() - lastRecorded < MAX_START_SECONDS;
    }

    private void checkReservations(List<JsonNode> recalls) {
        Map<String, Double> reserved = new HashMap<>();
        Set<String> victims = new HashSet<>();
        for (JsonNode recall : recalls) {
            reserved.merge(machine(recall), recall.path(5).asDouble(), Double::sum);
            for (String victim : victims(recall)) {
                if (!victims.add(victim + "@" + machine(recall))) {
                    violations.add(victim + " is named by two recalls at the same time");
                }
            }
        }
        reserved.forEach((name, gpus) -> checkReservations(name, gpus, victims));
    }

    private void checkReservations(String name, double reserved, Set<String> victims) {
        SimWorker machine = cluster.cloud().machines().get(name);
        if (machine == null) {
            return;
        }
        double gpus = reserved;
        for (SimTask task : machine.tasks()) {
            boolean releasesGpus =
                    task.over()
                            || task.haltedAt < Double.POSITIVE_INFINITY
                            || victims.contains(task.id + "@" + name)
                            || cancelled(task);
            JobHistory job = cluster.invariants().job(task.id);
            gpus += releasesGpus || job == null ? 0 : job.job().path("cards").asDouble();
        }
        if (gpus > SimCloud.TYPES.get(machine.type()).gpus() + TOLERANCE) {
            violations.add(gpus + OVERCOMMITTED + name);
        }
    }
}
