import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A small deployment: controllers as processes, and stand-ins for everything around them. */
final class Site implements AutoCloseable {
    /** A job as its user describes it. */
    record Job(
            String id,
            String crew,
            boolean service,
            String urgency,
            int sacks,
            double vcpus,
            double cards,
            double memGb,
            String mould,
            double pullGb,
            double expectS,
            double runS,
            double stashEveryS,
            double stashS,
            List<String> waitsOn) {
        Job(
                String id,
                String crew,
                boolean service,
                String urgency,
                int sacks,
                double vcpus,
                double cards,
                double memGb,
                String mould,
                double pullGb,
                double expectS,
                double runS,
                double stashEveryS,
                double stashS) {
            this(
                    id, crew, service, urgency, sacks, vcpus, cards, memGb, mould, pullGb, expectS,
                    runS, stashEveryS, stashS, List.of());
        }

        Job after(List<String> others) {
            return new Job(
                    id, crew, service, urgency, sacks, vcpus, cards, memGb, mould, pullGb, expectS,
                    runS, stashEveryS, stashS, others);
        }

        ObjectNode submission() {
            ObjectNode json =
                    Kit.object()
                            .put("nameId", id)
                            .put("grist", service ? "replicas" : "batch")
                            .put("crew", crew)
                            .put("shape", service ? "service" : "sweep")
                            .put("urgency", urgency)
                            .put("sacks", sacks)
                            .put("vcpus", vcpus)
                            .put("cards", cards)
                            .put("memGb", memGb)
                            .put("mould", mould)
                            .put("pullGb", pullGb)
                            .put("samePlace", false)
                            .put("apart", false)
                            .put("loaner", false)
                            .put("expectS", expectS)
                            .put("stashEveryS", stashEveryS)
                            .put("stashS", stashS);
            json.putNull("frames");
            json.putNull("yard");
            json.putNull("dueS");
            if (!waitsOn.isEmpty()) {
                ArrayNode names = json.putArray("waitsOn");
                waitsOn.forEach(names::add);
            }
            return json;
        }
    }

    /** Figures of the deployment; the defaults are those of the Peachtree site. */
    static final class Figures {
        int nodes = 3;
        double reportS = 2.5;
        double leaseS = 14;
        double cancelS = 44;
        double rps = 150;
        double writeRps = 60;
        int valueKb = 8;
        int txnOps = 16;
        double lagS = 6;
        int mostMachines = 12;
        String operator = "";
        List<String> teams = List.of("doppler-desk-00", "doppler-desk-01");
        String limits = "cpus = 200.0\ncpus_max = 392.0\ngpus = 24.0\ngpus_max = 40.0\n";
        double cpuShare = 0.255;
        int sockets = 800;
        List<String> zones = List.of("atlanta-east", "macon-south");
        List<Cloud.Type> types =
                List.of(
                        new Cloud.Type("squall", 16, 0, 128, 400, 2.0, 0.83, 40),
                        new Cloud.Type("supercell", 64, 8, 256, 400, 2.0, 23.52, 35));
    }

    private static final class Running {
        final String sack;
        final String machine;

        Running(String sack, String machine) {
            this.sack = sack;
            this.machine = machine;
        }
    }

    private final Figures figures;
    private final Path folder;
    private final Store store;
    private final Cloud cloud;
    private final String[] api;
    private final String[] peer;
    private final Process[] processes;
    private final String[] stateAddr;
    private final String[] cloudAddr;
    private final Link[][] links;

    /** The zone that is cut off from everything; empty for none. */
    private volatile String cutZone = "";
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Set<String> doneSacks = new HashSet<>();
    private final Map<String, Set<String>> machinesBySack = new TreeMap<>();
    private final Map<String, Integer> startsBySack = new TreeMap<>();
    private final List<String> ranTwice = new ArrayList<>();
    private final List<String> startsAfterDone = new ArrayList<>();

    Site(Figures figures) throws Exception {
        this.figures = figures;
        folder = Files.createTempDirectory("springmill-case");
        store = new Store(figures.rps, figures.writeRps, figures.valueKb, figures.txnOps);
        int nodes = figures.nodes;
        api = new String[nodes];
        peer = new String[nodes];
        stateAddr = new String[nodes];
        processes = new Process[nodes];
        for (int i = 0; i < nodes; i++) {
            api[i] = "127.0.0.1:" + Kit.freePort();
            peer[i] = "127.0.0.1:" + Kit.freePort();
            String name = node(i);
            int from = i;
            stateAddr[i] =
                    Kit.serve(
                            call -> {
                                awaitOutside(from);
                                store.handle(name, call, () -> isCut(from));
                            });
        }
        cloud = new Cloud(this, figures.types, figures.lagS, figures.mostMachines);
        cloudAddr = new String[nodes];
        links = new Link[nodes][nodes];
        for (int i = 0; i < nodes; i++) {
            int from = i;
            cloudAddr[i] =
                    Kit.serve(
                            call -> {
                                awaitOutside(from);
                                cloud.handle(call);
                            });
            for (int j = 0; j < nodes; j++) {
                int to = j;
                links[i][j] =
                        new Link(peer[j], () -> from != to && (isCut(from) || isCut(to)));
            }
        }
        for (int i = 0; i < nodes; i++) {
            Files.writeString(settings(i), settingsText(i));
        }
        if (!figures.operator.isEmpty()) {
            Files.writeString(folder.resolve("operator.hcl"), figures.operator);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::clean));
    }

    /** Cuts a zone off from everything, silently, or ends that with an empty name. */
    void cut(String zone) {
        cutZone = zone;
        Kit.record(zone.isEmpty() ? "no zone is cut off" : "zone " + zone + " is cut off");
    }

    String zone(int i) {
        return figures.zones.get(i % figures.zones.size());
    }

    boolean isCut(int i) {
        return zone(i).equals(cutZone);
    }

    /** Whether a machine of a zone and a controller can't reach each other. */
    boolean isCut(String yard, int i) {
        return !yard.equals(zone(i)) && (yard.equals(cutZone) || isCut(i));
    }

    private void awaitOutside(int i) {
        while (isCut(i)) {
            Kit.sleep(0.05);
        }
    }

    Store store() {
        return store;
    }

    Cloud cloud() {
        return cloud;
    }

    int nodes() {
        return figures.nodes;
    }

    String node(int i) {
        return "millhand-" + i;
    }

    int nodeNumber(String name) {
        for (int i = 0; i < figures.nodes; i++) {
            if (node(i).equals(name)) {
                return i;
            }
        }
        return -1;
    }

    String api(int i) {
        return api[i];
    }

    double leaseS() {
        return figures.leaseS;
    }

    double reportS() {
        return figures.reportS;
    }

    List<String> zones() {
        return figures.zones;
    }

    private Path settings(int i) {
        return folder.resolve(node(i) + ".toml");
    }

    private String settingsText(int i) {
        StringBuilder text = new StringBuilder();
        text.append("node = \"" + node(i) + "\"\n");
        text.append("site = \"" + figures.zones.get(i % figures.zones.size()) + "\"\n");
        text.append("api_addr = \"" + api[i] + "\"\npeer_bind = \"" + peer[i] + "\"\n");
        for (int j = 0; j < figures.nodes; j++) {
            if (j != i) {
                text.append("[[seeds]]\nnode = \"" + node(j) + "\"\nsite = \"");
                text.append(figures.zones.get(j % figures.zones.size()));
                text.append("\"\naddr = \"" + links[i][j].addr() + "\"\n");
            }
        }
        text.append("[services]\ncloud = \"" + cloudAddr[i] + "\"\n");
        text.append("state = \"" + stateAddr[i] + "\"\n");
        text.append("[cluster]\nnodes = " + figures.nodes + "\nskew_ms = 1000.0\nzones = [");
        text.append("\"" + String.join("\", \"", figures.zones) + "\"]\n");
        for (String team : figures.teams) {
            text.append("[[cluster.teams]]\nname = \"" + team + "\"\n" + figures.limits);
        }
        text.append("[cluster.workers]\nreport_s = " + figures.reportS);
        text.append("\nlease_s = " + figures.leaseS + "\ngang_wait_s = 30.0\ngang_peer_s = 5.0");
        text.append("\ncancel_s = " + figures.cancelS + "\n");
        text.append("[cluster.state]\nrps = " + figures.rps + "\nwrite_rps = " + figures.writeRps);
        text.append("\nvalue_kb = " + (double) figures.valueKb + "\ntxn_ops = " + figures.txnOps);
        text.append("\n[cluster.cloud]\nrps = 4.0\nlist_lag_s = " + figures.lagS);
        text.append("\n[cluster.machine_limits]\ncpu_share = " + figures.cpuShare);
        text.append("\nram_mb = 176.0\nmax_sockets = " + figures.sockets + "\n");
        return text.toString();
    }

    /** Starts a controller by the run line of the deploy file. */
    void start(int i) throws Exception {
        String line =
                Files.readAllLines(Path.of("deploy/service.toml")).stream()
                        .filter(l -> l.startsWith("run"))
                        .findFirst()
                        .orElseThrow();
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        List<String> command = new ArrayList<>(Arrays.asList(run.trim().split("\\s+")));
        command.add(settings(i).toString());
        if (!figures.operator.isEmpty()) {
            command.add("--operator");
            command.add(folder.resolve("operator.hcl").toString());
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
        File log =
                System.getenv("CASE_LOGS") == null
                        ? folder.resolve(node(i) + ".log").toFile()
                        : new File(System.getenv("CASE_LOGS"), node(i) + ".log");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        processes[i] = builder.start();
        Kit.record("controller " + node(i) + " started");
    }

    void startAll() throws Exception {
        for (int i = 0; i < figures.nodes; i++) {
            start(i);
        }
    }

    void kill(int i) throws Exception {
        processes[i].destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        Kit.record("controller " + node(i) + " killed");
    }

    void signal(int i, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes[i].pid()))
                .start()
                .waitFor();
        Kit.record("controller " + node(i) + " gets signal " + signal);
    }

    /** The memory that a controller alone holds, in MB; 0 if it does not run. */
    double heldMb(int i) {
        double kb = 0;
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + processes[i].pid() + "/status"))) {
                if (line.startsWith("RssAnon") || line.startsWith("RssShmem")) {
                    kb += Double.parseDouble(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (Exception e) {
            return 0;
        }
        return kb / 1024;
    }

    /** Kills a controller that holds more than its memory limit, and starts it again after 8 s. */
    void enforceMemory(double limitMb, int[] killed) {
        for (int i = 0; i < figures.nodes; i++) {
            int number = i;
            Thread platform =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        Kit.sleep(0.2);
                                        double held = heldMb(number);
                                        if (held > limitMb) {
                                            Kit.record(
                                                    node(number)
                                                            + " holds "
                                                            + Math.round(held)
                                                            + " MB of "
                                                            + Math.round(limitMb));
                                            kill(number);
                                            killed[number]++;
                                            Kit.sleep(8);
                                            start(number);
                                        }
                                    }
                                } catch (Exception e) {
                                    Kit.record("platform: " + e);
                                }
                            });
            platform.setDaemon(true);
            platform.start();
        }
    }

    boolean alive(int i) {
        return processes[i] != null && processes[i].isAlive();
    }

    /** Ends all processes that were started, and removes the temporary folder. */
    private synchronized void clean() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
        try {
            for (Process process : processes) {
                if (process != null) {
                    process.waitFor(5, TimeUnit.SECONDS);
                }
            }
            if (Files.exists(folder)) {
                try (var files = Files.list(folder)) {
                    for (Path file : files.toList()) {
                        Files.delete(file);
                    }
                }
                Files.delete(folder);
            }
        } catch (Exception e) {
            Kit.record("not removed: " + e);
        }
    }

    @Override
    public void close() {
        clean();
    }

    boolean ready(int i) {
        return Kit.send("GET", api[i], "/ready", null, 1).status() == 200;
    }

    /** Waits until all controllers are ready; ends the case with 2 if they are not. */
    void awaitReady(double seconds) {
        double until = Kit.time() + seconds;
        for (int i = 0; i < figures.nodes; i++) {
            while (!ready(i)) {
                if (Kit.time() > until) {
                    Kit.record("controller " + node(i) + " is not ready: the case could not run");
                    System.exit(2);
                }
                Kit.sleep(0.2);
            }
        }
        Kit.record("all controllers are ready");
    }

    /** The number of the controller whose leader record is in the state service; -1 for none. */
    int leader() {
        JsonNode record = store.value("leader");
        return record == null ? -1 : nodeNumber(record.path("node").asText());
    }

    int awaitLeader(double seconds) {
        double until = Kit.time() + seconds;
        while (leader() < 0 && Kit.time() < until) {
            Kit.sleep(0.05);
        }
        return leader();
    }

    synchronized Job job(String id) {
        return jobs.get(id);
    }

    /** Submits a job, trying one controller after the other, until it is accepted. */
    boolean submit(Job job, double seconds) {
        return submit(job, seconds, 0);
    }

    /** The same, beginning at a given controller. */
    boolean submit(Job job, double seconds, int first) {
        synchronized (this) {
            jobs.put(job.id(), job);
        }
        double until = Kit.time() + seconds;
        int to = first;
        while (Kit.time() < until) {
            if (alive(to)) {
                Kit.Answer answer =
                        Kit.send("POST", api[to], "/submissions", job.submission(), 5);
                if (answer.status() == 201 || answer.status() == 200) {
                    Kit.record(
                            "submission of "
                                    + job.id()
                                    + " ("
                                    + job.sacks()
                                    + " tasks) accepted by "
                                    + node(to)
                                    + ": "
                                    + answer.status()
                                    + " "
                                    + answer.json());
                    return true;
                }
                if (answer.status() == 400 || answer.status() == 422) {
                    Kit.record("submission of " + job.id() + " refused: " + answer);
                    return false;
                }
                Kit.sleep(1);
            }
            to = (to + 1) % figures.nodes;
        }
        return false;
    }

    Kit.Answer ask(int i, String id) {
        return Kit.send("GET", api[i], "/submissions/" + id, null, 2);
    }

    Kit.Answer withdraw(int i, String id) {
        return Kit.send("POST", api[i], "/submissions/" + id + "/withdraw", null, 5);
    }

    /** Called by workers: a task is on its machine from now on. */
    synchronized void taskOn(Worker.Task task, String machine) {
        Set<String> on = machinesBySack.computeIfAbsent(task.sack, sack -> new HashSet<>());
        if (!on.isEmpty()) {
            String line = task.sack + " starts on " + machine + " while it is on " + on;
            ranTwice.add(line);
            Kit.record("RAN TWICE: " + line);
        }
        on.add(machine);
        startsBySack.merge(task.sack, 1, Integer::sum);
        if (task.job.sacks() < 200) {
            Kit.record("task " + task.sack + " try " + task.attempt + " runs on " + machine);
        }
    }

    synchronized void taskOff(Worker.Task task, String machine, String why) {
        Set<String> on = machinesBySack.get(task.sack);
        if (on != null) {
            on.remove(machine);
        }
        if (task.job.sacks() < 200) {
            Kit.record(
                    "task " + task.sack + " try " + task.attempt + " off " + machine + ": " + why);
        }
    }

    synchronized void taskDone(String sack) {
        doneSacks.add(sack);
    }

    synchronized boolean isDone(String sack) {
        return doneSacks.contains(sack);
    }

    synchronized int doneCount(String job) {
        return (int) doneSacks.stream().filter(sack -> sack.startsWith(job + "/")).count();
    }

    synchronized int runningCount(String job) {
        return (int)
                machinesBySack.entrySet().stream()
                        .filter(e -> e.getKey().startsWith(job + "/") && !e.getValue().isEmpty())
                        .count();
    }

    synchronized int starts(String sack) {
        return startsBySack.getOrDefault(sack, 0);
    }

    synchronized int startsOf(String job) {
        return startsBySack.entrySet().stream()
                .filter(e -> e.getKey().startsWith(job + "/"))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    synchronized Set<String> machinesOf(String sack) {
        return Set.copyOf(machinesBySack.getOrDefault(sack, Set.of()));
    }

    synchronized List<String> ranTwice() {
        return List.copyOf(ranTwice);
    }
}
