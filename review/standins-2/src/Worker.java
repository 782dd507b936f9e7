import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The worker of PROTOCOL-springmill.md on one stand-in machine. */
final class Worker {
    static final class Task {
        final String sack;
        final long attempt;
        final Site.Job job;
        String phase = "pulling";
        String cause;
        boolean stored;
        double runningSince;
        double savedAt = Double.POSITIVE_INFINITY;

        Task(String sack, long attempt, Site.Job job) {
            this.sack = sack;
            this.attempt = attempt;
            this.job = job;
        }

        boolean ended() {
            return phase.equals("ended");
        }

        /** On its machine: from the moment it has its image until it ends. */
        boolean onMachine() {
            return phase.equals("running") || phase.equals("saving");
        }
    }

    private final Site site;
    private final String name;
    private final Cloud.Type type;
    private final String yard;
    private final boolean loaner;
    private final String addr;
    private final Random random = new Random();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Map<String, Double> imageReadyAt = new LinkedHashMap<>();
    private long shift = 1;
    private long tally;
    private long baton;
    private double leaseFrom;
    private int node;
    private boolean started;
    private boolean destroyed;
    private volatile boolean hung;
    private boolean changed;
    private double tokenReportedAt = Double.NEGATIVE_INFINITY;
    private int leasesEnded;
    private int killed;
    private int lastReportBytes;
    private int lastReportStatus;
    private final Map<Integer, Integer> answers = new LinkedHashMap<>();

    Worker(Site site, String name, Cloud.Type type, String yard, boolean loaner) throws Exception {
        this.site = site;
        this.name = name;
        this.type = type;
        this.yard = yard;
        this.loaner = loaner;
        addr = Kit.serve(this::handle);
        node = random.nextInt(site.nodes());
    }

    String name() {
        return name;
    }

    String addr() {
        return addr;
    }

    synchronized int leasesEnded() {
        return leasesEnded;
    }

    synchronized int killed() {
        return killed;
    }

    synchronized int lastReportBytes() {
        return lastReportBytes;
    }

    synchronized String answers() {
        return answers.toString();
    }

    synchronized int lastReportStatus() {
        return lastReportStatus;
    }

    synchronized List<Task> tasks() {
        return List.copyOf(tasks.values());
    }

    synchronized void start() {
        if (destroyed) {
            return;
        }
        started = true;
        leaseFrom = Kit.time();
        thread(this::reportLoop);
        thread(this::clock);
    }

    private static void thread(Runnable loop) {
        Thread thread = new Thread(loop);
        thread.setDaemon(true);
        thread.start();
    }

    /** The machine hangs: it executes nothing and answers nothing, until it goes on. */
    void hang(boolean on) {
        Kit.record("machine " + name + (on ? " hangs" : " goes on"));
        hung = on;
    }

    synchronized void destroy() {
        destroyed = true;
        killAll("its machine is gone");
    }

    private void killAll(String why) {
        for (Task task : tasks.values()) {
            if (task.onMachine()) {
                killed++;
                site.taskOff(task, name, why);
            }
        }
        tasks.clear();
    }

    /** Ends leases, image fetches, runs and saves. */
    private void clock() {
        while (true) {
            Kit.sleep(0.02);
            if (hung) {
                continue;
            }
            synchronized (this) {
                if (destroyed) {
                    return;
                }
                checkLease();
                double now = Kit.time();
                for (Task task : tasks.values()) {
                    step(task, now);
                }
            }
        }
    }

    private void checkLease() {
        if (started && Kit.time() - leaseFrom > site.leaseS()) {
            Kit.record(
                    "machine "
                            + name
                            + ": lease of session "
                            + shift
                            + " ended, "
                            + tasks.size()
                            + " tasks killed; last report had "
                            + lastReportBytes
                            + " bytes and got status "
                            + lastReportStatus);
            leasesEnded++;
            killAll("the lease ended");
            shift++;
            leaseFrom = Kit.time();
        }
    }

    private void step(Task task, double now) {
        if (task.phase.equals("pulling")) {
            double ready = imageReadyAt.getOrDefault(task.job.mould(), Double.POSITIVE_INFINITY);
            if (now >= ready) {
                images.add(task.job.mould());
                if (site.isDone(task.sack)) {
                    end(task, "done");
                } else {
                    task.phase = "running";
                    task.runningSince = now;
                    changed = true;
                    site.taskOn(task, name);
                }
            }
        } else if (task.phase.equals("running") && !task.job.service()) {
            if (now - task.runningSince >= task.job.runS()) {
                site.taskDone(task.sack);
                end(task, "done");
            }
        } else if (task.phase.equals("saving") && now >= task.savedAt) {
            task.stored = true;
            end(task, "stopped");
        }
    }

    private void end(Task task, String cause) {
        if (task.onMachine()) {
            site.taskOff(task, name, cause);
        }
        task.phase = "ended";
        task.cause = cause;
        changed = true;
    }

    private ObjectNode report() {
        ObjectNode json =
                Kit.object()
                        .put("stone", name)
                        .put("addr", addr)
                        .put("frame", type.sku())
                        .put("yard", yard)
                        .put("loaner", loaner)
                        .put("shift", shift)
                        .put("tally", ++tally)
                        .put("baton", baton);
        ArrayNode sacks = json.putArray("sacks");
        for (Task task : tasks.values()) {
            ObjectNode item =
                    sacks.addObject()
                            .put("sack", task.sack)
                            .put("try", task.attempt)
                            .put("phase", task.phase);
            if (task.ended()) {
                item.put("cause", task.cause);
                if (task.stored) {
                    item.put("stored", true);
                }
            }
        }
        return json;
    }

    private void reportLoop() {
        double next = Kit.time() + random.nextDouble() * site.reportS();
        double lastSent = Double.NEGATIVE_INFINITY;
        while (true) {
            Kit.sleep(0.01);
            if (hung) {
                continue;
            }
            ObjectNode json;
            double sentAt = Kit.time();
            long sentShift;
            int to;
            synchronized (this) {
                if (destroyed) {
                    return;
                }
                boolean due = sentAt >= next || (changed && sentAt - lastSent >= 0.5);
                if (!due) {
                    continue;
                }
                changed = false;
                json = report();
                sentShift = shift;
                to = node;
            }
            lastSent = sentAt;
            next = sentAt + site.reportS() * (0.75 + 0.5 * random.nextDouble());
            int bytes = Kit.bytes(json).length;
            Kit.Answer answer = send(json, to);
            while (hung) {
                Kit.sleep(0.01);
            }
            synchronized (this) {
                lastReportBytes = bytes;
                lastReportStatus = answer.status();
                answers.merge(answer.status(), 1, Integer::sum);
                checkLease();
                if (answer.status() == 200 && Kit.time() - sentAt < 4) {
                    accept(answer.json(), sentAt, sentShift);
                    continue;
                }
                int leader =
                        answer.status() == 421 ? site.nodeNumber(answer.text("foreman")) : -1;
                if (leader >= 0 && leader != to) {
                    node = leader;
                    next = Kit.time() + 0.5 * random.nextDouble();
                } else {
                    node = (to + 1) % site.nodes();
                    next = Kit.time() + 1;
                }
                changed = false;
            }
        }
    }

    private Kit.Answer send(ObjectNode json, int to) {
        if (site.isCut(yard, to)) {
            Kit.sleep(4);
            return new Kit.Answer(-1, null);
        }
        return Kit.send("POST", site.api(to), "/v1/report", json, 4);
    }

    private void accept(JsonNode json, double sentAt, long sentShift) {
        if (json == null
                || !json.path("baton").isIntegralNumber()
                || json.path("baton").longValue() < baton
                || sentShift != shift) {
            return;
        }
        raise(json.path("baton").longValue());
        leaseFrom = Math.max(leaseFrom, sentAt);
        json.path("orders").forEach(this::execute);
    }

    private void raise(long token) {
        if (token > baton) {
            baton = token;
            if (Kit.time() - tokenReportedAt > site.leaseS() / 2) {
                tokenReportedAt = Kit.time();
                changed = true;
            }
        }
    }

    private void handle(HttpExchange call) throws Exception {
        byte[] body = call.getRequestBody().readAllBytes();
        while (hung) {
            Kit.sleep(0.01);
        }
        Kit.Answer answer;
        synchronized (this) {
            if (destroyed || !started) {
                call.close();
                return;
            }
            checkLease();
            if (call.getRequestURI().getPath().equals("/status")) {
                answer = new Kit.Answer(200, report());
            } else if (body.length > 64 * 1024) {
                answer = new Kit.Answer(400, Kit.object().put("error", "body too large"));
            } else {
                answer = orders(Kit.parse(body));
            }
        }
        Kit.reply(call, answer);
    }

    private Kit.Answer orders(JsonNode json) {
        if (!json.path("baton").isIntegralNumber() || !json.path("shift").isIntegralNumber()) {
            return new Kit.Answer(400, Kit.object().put("error", "baton or shift is missing"));
        }
        long token = json.path("baton").longValue();
        if (token < baton || json.path("shift").longValue() != shift) {
            return new Kit.Answer(409, report());
        }
        raise(token);
        json.path("orders").forEach(this::execute);
        return new Kit.Answer(200, report());
    }

    private void execute(JsonNode order) {
        String sack = order.path("sack").asText();
        long attempt = order.path("try").longValue();
        Task task = tasks.get(sack + "#" + attempt);
        switch (order.path("verb").asText()) {
            case "start" -> {
                if (task == null) {
                    begin(sack, attempt);
                }
            }
            case "halt" -> {
                if (task != null && !task.ended()) {
                    halt(task, order.path("windDownS").asDouble());
                }
            }
            case "clear" -> {
                if (task != null && task.ended()) {
                    tasks.remove(sack + "#" + attempt);
                    changed = true;
                }
            }
            default -> {}
        }
    }

    private void begin(String sack, long attempt) {
        String id = sack.substring(0, sack.indexOf('/'));
        Site.Job job = site.job(id);
        Task task = new Task(sack, attempt, job);
        boolean busy = tasks.values().stream().anyMatch(t -> t.sack.equals(sack) && !t.ended());
        tasks.put(sack + "#" + attempt, task);
        changed = true;
        if (job == null) {
            end(task, "no_such");
        } else if (busy) {
            end(task, "busy");
        } else if (!fits(task)) {
            end(task, "no_room");
        } else {
            imageReadyAt.computeIfAbsent(
                    job.mould(), image -> Kit.time() + job.pullGb() / type.pullGbPerS());
        }
    }

    private boolean fits(Task added) {
        double vcpus = 0;
        double cards = 0;
        double memGb = 0;
        for (Task task : tasks.values()) {
            if (!task.ended()) {
                vcpus += task.job.vcpus();
                cards += task.job.cards();
                memGb += task.job.memGb();
            }
        }
        return vcpus <= type.vcpus() + 1e-6
                && cards <= type.cards() + 1e-6
                && memGb <= type.memGb() + 1e-6;
    }

    private void halt(Task task, double windDownS) {
        boolean saves =
                task.phase.equals("running")
                        && task.job.stashEveryS() > 0
                        && windDownS >= task.job.stashS();
        if (saves) {
            task.phase = "saving";
            task.savedAt = Kit.time() + task.job.stashS();
            changed = true;
        } else if (!task.phase.equals("saving") || windDownS == 0) {
            end(task, "stopped");
        }
    }
}
