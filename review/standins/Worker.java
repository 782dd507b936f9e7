import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Function;

/**
 * A machine with its worker, as PROTOCOL-springmill.md describes it: reports, commands, tokens,
 * sessions and leases. Images take no time.
 */
final class Worker {
    /** How a task ends. */
    record Run(double seconds, String cause) {}

    /** Hears of starts and ends. */
    interface Listener {
        void started(String machine, String sack, long attempt);

        void gone(String machine, String sack, long attempt, String why);
    }

    private static final class Task {
        private final String sack;
        private final long attempt;
        private String phase = "running";
        private String cause;
        private double endsAt;
        private String endsWith;

        Task(String sack, long attempt) {
            this.sack = sack;
            this.attempt = attempt;
        }
    }

    private final String name;
    private final String zone;
    private final double reportSeconds;
    private final double leaseSeconds;
    private final List<String> nodes;
    private final List<String> addresses;
    private final BiPredicate<Worker, String> reaches;
    private final Function<String, Run> runs;
    private final Listener listener;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private String address;
    private int node;
    private long shift = 1;
    private long tally;
    private long baton;
    private double leaseFrom;
    private double batonReportedAt = Double.NEGATIVE_INFINITY;
    private boolean changed;
    private boolean destroyed;
    private String answeredBy = "";

    /**
     * @param nodes names of the controllers, and their addresses in the same order
     * @param reaches whether this machine reaches a controller over the network now
     * @param runs how long a task runs and how it ends; null if it runs until it is stopped
     */
    Worker(
            String name,
            String zone,
            double reportSeconds,
            double leaseSeconds,
            List<String> nodes,
            List<String> addresses,
            BiPredicate<Worker, String> reaches,
            Function<String, Run> runs,
            Listener listener) {
        this.name = name;
        this.zone = zone;
        this.reportSeconds = reportSeconds;
        this.leaseSeconds = leaseSeconds;
        this.nodes = nodes;
        this.addresses = addresses;
        this.reaches = reaches;
        this.runs = runs;
        this.listener = listener;
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    /** The controller that last answered a report with 200. */
    synchronized String answeredBy() {
        return answeredBy;
    }

    /** Whether a task is on this machine, saving or running. */
    synchronized boolean has(String sack) {
        checkLease();
        Task task = tasks.get(sack);
        return task != null && !task.phase.equals("ended");
    }

    synchronized String listed() {
        return "{\"nameId\":\""
                + name
                + "\",\"addr\":\""
                + address
                + "\",\"frame\":\"caravan\",\"yard\":\""
                + zone
                + "\",\"loaner\":false,\"phase\":\"running\",\"heldS\":"
                + (1000 + Record.now())
                + "}";
    }

    void start() throws IOException {
        address = Http.serve(name, this::handle);
        leaseFrom = Record.now();
        Http.thread(name, this::reportLoop);
        Http.thread(name, this::clock);
    }

    /** The cloud has deleted the machine: everything on it is gone. */
    synchronized void destroy() {
        destroyed = true;
        killAll("machine deleted");
    }

    private void clock() throws InterruptedException {
        while (!destroyed) {
            Thread.sleep(20);
            synchronized (this) {
                checkLease();
                for (Task task : tasks.values()) {
                    if (task.phase.equals("running")
                            && task.endsAt > 0
                            && Record.now() > task.endsAt) {
                        end(task, task.endsWith);
                    }
                }
            }
        }
    }

    private void end(Task task, String cause) {
        task.phase = "ended";
        task.cause = cause;
        changed = true;
        listener.gone(name, task.sack, task.attempt, cause);
    }

    private void killAll(String why) {
        for (Task task : tasks.values()) {
            if (!task.phase.equals("ended")) {
                listener.gone(name, task.sack, task.attempt, why);
            }
        }
        tasks.clear();
    }

    private void checkLease() {
        if (!destroyed && Record.now() > leaseFrom + leaseSeconds) {
            Record.line("%s: lease expired, session %d ends", name, shift);
            killAll("lease expired");
            shift++;
            leaseFrom = Record.now();
            changed = true;
        }
    }

    private void reportLoop() throws Exception {
        double next = Record.now();
        double last = Double.NEGATIVE_INFINITY;
        while (!destroyed) {
            Thread.sleep(10);
            double now = Record.now();
            if (now < next && !(changed && now > last + 0.5)) {
                continue;
            }
            last = now;
            double jitter = 0.75 + 0.5 * Math.random();
            next = now + report() * jitter;
        }
    }

    /** Sends one report and returns the seconds until the next. */
    private double report() throws Exception {
        String body;
        long session;
        double sentAt;
        synchronized (this) {
            checkLease();
            changed = false;
            body = status();
            session = shift;
            sentAt = Record.now();
        }
        String to = nodes.get(node);
        Http.Reply reply = Http.Reply.NONE;
        if (reaches.test(this, to)) {
            reply = Http.send(addresses.get(node), "POST", "/v1/report", body, 4);
        } else {
            Thread.sleep(4000);
        }
        // An answer that came through just before a cut is lost with it.
        if (!reaches.test(this, to)) {
            reply = Http.Reply.NONE;
        }
        if (reply.status() == 200) {
            accept(reply.body(), session, sentAt, to);
            return reportSeconds;
        }
        if (reply.status() == 421) {
            String leader = State.JSON.readTree(reply.body()).path("foreman").asText();
            int named = nodes.indexOf(leader);
            if (named >= 0 && named != node) {
                node = named;
                return 0.2;
            }
        }
        node = (node + 1) % nodes.size();
        return 1;
    }

    private synchronized void accept(String body, long session, double sentAt, String from)
            throws Exception {
        checkLease();
        JsonNode answer = State.JSON.readTree(body);
        boolean isValid = answer.path("baton").isIntegralNumber();
        if (destroyed || session != shift || !isValid || answer.path("baton").asLong() < baton) {
            return;
        }
        if (!from.equals(answeredBy)) {
            Record.line("%s: reports are answered by %s", name, from);
        }
        answeredBy = from;
        see(answer.path("baton").asLong());
        leaseFrom = Math.max(leaseFrom, sentAt);
        execute(answer.path("orders"));
    }

    private void see(long token) {
        if (token > baton) {
            baton = token;
            if (Record.now() > batonReportedAt + leaseSeconds / 2) {
                batonReportedAt = Record.now();
                changed = true;
            }
        }
    }

    private synchronized Http.Reply handle(Http.Request request) throws Exception {
        if (destroyed) {
            return Http.Reply.NONE;
        }
        checkLease();
        if (request.path().equals("/status")) {
            return new Http.Reply(200, status());
        }
        JsonNode message = State.JSON.readTree(request.body());
        if (!message.has("baton") || !message.has("shift")) {
            return new Http.Reply(400, "{}");
        }
        if (message.path("baton").asLong() < baton || message.path("shift").asLong() != shift) {
            return new Http.Reply(409, status());
        }
        see(message.path("baton").asLong());
        execute(message.path("orders"));
        return new Http.Reply(200, status());
    }

    private void execute(JsonNode orders) {
        for (JsonNode order : orders) {
            String sack = order.path("sack").asText();
            long attempt = order.path("try").asLong();
            Task task = tasks.get(sack);
            boolean isSame = task != null && task.attempt == attempt;
            switch (order.path("verb").asText()) {
                case "start" -> {
                    if (task == null || (!isSame && task.phase.equals("ended"))) {
                        begin(sack, attempt);
                    } else if (!isSame) {
                        Record.line("%s: start of %s try %d refused: busy", name, sack, attempt);
                    }
                }
                case "halt" -> {
                    if (isSame && !task.phase.equals("ended")) {
                        end(task, "stopped");
                    }
                }
                default -> {
                    if (isSame && task.phase.equals("ended")) {
                        tasks.remove(sack);
                        changed = true;
                    }
                }
            }
        }
    }

    private void begin(String sack, long attempt) {
        Task task = new Task(sack, attempt);
        Run run = runs.apply(sack);
        if (run != null) {
            task.endsAt = Record.now() + run.seconds();
            task.endsWith = run.cause();
        }
        tasks.put(sack, task);
        changed = true;
        listener.started(name, sack, attempt);
    }

    private String status() {
        ObjectNode report = State.JSON.createObjectNode();
        report.put("stone", name).put("addr", address).put("frame", "caravan").put("yard", zone);
        report.put("loaner", false).put("shift", shift).put("tally", ++tally).put("baton", baton);
        report.putNull("warningS");
        ArrayNode sacks = report.putArray("sacks");
        for (Task task : tasks.values()) {
            ObjectNode node = sacks.addObject();
            node.put("sack", task.sack).put("try", task.attempt).put("phase", task.phase);
            if (task.cause != null) {
                node.put("cause", task.cause);
            }
        }
        return report.toString();
    }
}
