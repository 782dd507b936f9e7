import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The controllers, as processes started by the run line of deploy/service.toml. */
final class Controllers {
    static final List<String> NODES = List.of("millhand-0", "millhand-1", "millhand-2");
    static final List<String> ZONES = List.of("casablanca-port", "rabat-agdal", "tangier-med");

    private final Path root;
    private final Path folder;
    private final List<String> command;
    private final Process[] processes = new Process[NODES.size()];
    private boolean closed;
    final List<String> api = new ArrayList<>();
    final List<String> peer = new ArrayList<>();

    /**
     * @param root the repository
     * @param folder where settings and logs go
     */
    Controllers(Path root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        String run = "";
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        command = Arrays.asList(run.split(" "));
        for (int i = 0; i < NODES.size(); i++) {
            api.add(freeAddress());
            peer.add(freeAddress());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Addresses that one controller uses, which may be those of proxies. */
    record Reach(String state, String cloud, List<String> peers) {}

    /** Writes the settings of one controller: those of Bennani's site file. */
    void configure(int node, Reach reach) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append("node = \"").append(NODES.get(node)).append("\"\n");
        text.append("site = \"").append(ZONES.get(node)).append("\"\n");
        text.append("api_addr = \"").append(api.get(node)).append("\"\n");
        text.append("peer_bind = \"").append(peer.get(node)).append("\"\n");
        for (int other = 0; other < NODES.size(); other++) {
            if (other != node) {
                text.append("[[seeds]]\nnode = \"").append(NODES.get(other)).append("\"\n");
                text.append("site = \"").append(ZONES.get(other)).append("\"\n");
                text.append("addr = \"").append(reach.peers().get(other)).append("\"\n");
            }
        }
        text.append("[services]\ncloud = \"").append(reach.cloud()).append("\"\n");
        text.append("state = \"").append(reach.state()).append("\"\n");
        text.append("[cluster]\nnodes = 3\nskew_ms = 250.0\n");
        text.append("zones = [\"").append(String.join("\", \"", ZONES)).append("\"]\n");
        team(text, "souk-desk", 136, 408);
        team(text, "relay-ops", 248, 544);
        text.append("[cluster.workers]\nreport_s = 2.0\nlease_s = 14.0\ngang_wait_s = 45.0\n");
        text.append("gang_peer_s = 8.0\ncancel_s = 44.0\n");
        text.append("[cluster.state]\nrps = 120.0\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 12\n");
        text.append("[cluster.cloud]\nrps = 4.0\nlist_lag_s = 3.0\n");
        text.append("[cluster.machine_limits]\ncpu_share = 0.136\nram_mb = 176.0\n");
        text.append("max_sockets = 700\n");
        Files.writeString(settings(node), text);
    }

    private static void team(StringBuilder text, String name, int gpus, int gpusMax) {
        text.append("[[cluster.teams]]\nname = \"").append(name).append("\"\ncpus = 0.0\n");
        text.append("cpus_max = 0.0\ngpus = ").append(gpus).append(".0\n");
        text.append("gpus_max = ").append(gpusMax).append(".0\n");
    }

    private Path settings(int node) {
        return folder.resolve(NODES.get(node) + ".toml");
    }

    synchronized void start(int node) throws IOException {
        if (closed) {
            return;
        }
        List<String> line = new ArrayList<>(command);
        line.add(settings(node).toString());
        Path log = folder.resolve(NODES.get(node) + ".log");
        ProcessBuilder builder = new ProcessBuilder(line).directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        processes[node] = builder.start();
        Record.line("controller %s started", NODES.get(node));
    }

    void kill(int node) throws InterruptedException {
        processes[node].destroyForcibly().waitFor();
        Record.line("controller %s killed", NODES.get(node));
    }

    boolean isAlive(int node) {
        return processes[node] != null && processes[node].isAlive();
    }

    private synchronized void killAll() {
        closed = true;
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    /** Waits for the answer 200 of GET /ready. */
    boolean awaitReady(int node, double seconds) throws InterruptedException {
        double until = Record.now() + seconds;
        while (Record.now() < until) {
            if (Http.send(api.get(node), "GET", "/ready", "", 1).status() == 200) {
                Record.line("controller %s is ready", NODES.get(node));
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    Http.Reply user(int node, String method, String path, String body) {
        Http.Reply reply = Http.send(api.get(node), method, path, body, method.equals("GET") ? 2 : 5);
        Record.line(
                "user -> %s: %s %s: %d %s",
                NODES.get(node), method, path, reply.status(), reply.body());
        return reply;
    }

    /** A submission of one of the operators' classes. */
    static String job(
            String id, String shape, String urgency, int sacks, double cpus, String zone) {
        return "{\"nameId\":\""
                + id
                + "\",\"grist\":\"barid-rush\",\"crew\":\"souk-desk\",\"shape\":\""
                + shape
                + "\",\"urgency\":\""
                + urgency
                + "\",\"sacks\":"
                + sacks
                + ",\"vcpus\":"
                + cpus
                + ",\"cards\":1.0,\"memGb\":20.0,\"mould\":\"img-01\",\"pullGb\":16.1,"
                + "\"frames\":null,\"yard\":"
                + (zone == null ? "null" : "\"" + zone + "\"")
                + ",\"samePlace\":false,\"apart\":false,\"loaner\":false,\"expectS\":"
                + (shape.equals("service") ? "0.0" : "2.0")
                + ",\"stashEveryS\":0.0,\"stashS\":0.0,\"dueS\":null}";
    }
}
