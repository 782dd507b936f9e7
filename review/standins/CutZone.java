import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 3: the zone of the leader is cut off, a user cancels a job through a controller outside, and
 * the state service is down before that controller can lead. Arguments: the repository, a temporary
 * folder, the record.
 */
final class CutZone {
    private static final double CANCEL_SECONDS = 44;
    private static final double CANCEL_AFTER_CUT = 0.3;
    private static final double OUTAGE_AFTER_CUT = 1.0;

    /** Zone cuts of the site files last up to 60 s. */
    private static final double CUT_SECONDS = 58;

    private static volatile int cutNode = -1;

    private CutZone() {}

    private static boolean isCut(int node) {
        return node == cutNode;
    }

    private static Proxy proxy(int node, int other, String target) {
        Proxy proxy = new Proxy(() -> isCut(node) || isCut(other));
        proxy.target(target);
        return proxy;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(arguments[2]));
        State state = new State(120, 20, 8, 12, 0.002);
        String stateAddress = state.start();
        Cloud cloud = new Cloud("[\"casablanca-port\",\"rabat-agdal\",\"tangier-med\"]");
        String cloudAddress = cloud.start();
        Controllers controllers = new Controllers(Path.of(arguments[0]), Path.of(arguments[1]));
        // State service and cloud are regional: a cut zone loses both, and the other controllers.
        for (int node = 0; node < 3; node++) {
            List<String> peers = new ArrayList<>();
            for (int other = 0; other < 3; other++) {
                peers.add(proxy(node, other, controllers.peer.get(other)).start());
            }
            controllers.configure(
                    node,
                    new Controllers.Reach(
                            proxy(node, node, stateAddress).start(),
                            proxy(node, node, cloudAddress).start(),
                            peers));
            controllers.start(node);
        }
        for (int node = 0; node < 3; node++) {
            if (!controllers.awaitReady(node, 15)) {
                exit(2, "a controller was not ready");
            }
        }
        int leader = Controllers.NODES.indexOf(state.value("leader").path("node").asText());
        int outside = (leader + 1) % 3;
        String zone = Controllers.ZONES.get(leader);
        Record.line("leader: %s in zone %s", Controllers.NODES.get(leader), zone);
        List<Worker> workers = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            Worker worker =
                    new Worker(
                            "host-00000" + number,
                            zone,
                            2,
                            14,
                            Controllers.NODES,
                            controllers.api,
                            CutZone::reaches,
                            sack -> null,
                            new Listener());
            worker.start();
            cloud.add(worker);
            workers.add(worker);
        }
        String job = "run-000412";
        String body = Controllers.job(job, "service", "prod", 1, 4, zone);
        if (controllers.user(outside, "POST", "/submissions", body).status() != 201) {
            exit(2, "the job was not accepted");
        }
        String sack = job + "/0";
        double until = Record.now() + 20;
        while (workers.stream().noneMatch(worker -> worker.has(sack))) {
            if (Record.now() > until) {
                exit(2, "the task was not started");
            }
            Thread.sleep(50);
        }
        // The leader has its report, and the worker a report interval or two without a change.
        Thread.sleep(5000);

        double cutAt = Record.now();
        if (trouble) {
            cutNode = leader;
            Record.line("zone %s is cut off from everything", zone);
        }
        Record.sleepUntil(cutAt + CANCEL_AFTER_CUT);
        Http.Reply withdrawn =
                controllers.user(outside, "POST", "/submissions/" + job + "/withdraw", "");
        if (withdrawn.status() != 200 || !withdrawn.body().contains("cancelled")) {
            exit(2, "the cancellation was not confirmed before the outage");
        }
        double told = Record.now();
        Record.sleepUntil(cutAt + OUTAGE_AFTER_CUT);
        if (trouble) {
            state.setDown(true);
            Record.line("state service: down");
        }
        double broken = Double.NaN;
        double nextLine = Record.now() + 5;
        while (Record.now() < cutAt + CUT_SECONDS && !(Record.now() > broken + 3)) {
            boolean isThere = workers.stream().anyMatch(worker -> worker.has(sack));
            if (Record.now() > nextLine) {
                nextLine += 5;
                Record.line(
                        "%s is on a machine: %s; %.1f s after its user was told cancelled",
                        sack, isThere, Record.now() - told);
            }
            if (isThere && Double.isNaN(broken) && Record.now() > told + CANCEL_SECONDS + 0.5) {
                broken = Record.now();
                Record.line(
                        "ran_cancelled: %s is on a machine %.1f s after its user was told",
                        sack, broken - told);
            }
            if (!isThere && !trouble) {
                break;
            }
            Thread.sleep(50);
        }
        cutNode = -1;
        state.setDown(false);
        exit(Double.isNaN(broken) ? 0 : 1, "see the lines above");
    }

    private static boolean reaches(Worker worker, String node) {
        // All machines are in the zone that is cut.
        return cutNode < 0 || Controllers.NODES.indexOf(node) == cutNode;
    }

    /** Records starts and ends. */
    static final class Listener implements Worker.Listener {
        @Override
        public void started(String machine, String sack, long attempt) {
            Record.line("%s: %s try %d starts", machine, sack, attempt);
        }

        @Override
        public void gone(String machine, String sack, long attempt, String why) {
            Record.line("%s: %s try %d is gone: %s", machine, sack, attempt, why);
        }
    }

    private static void exit(int status, String reason) {
        Record.line("exit %d: %s", status, reason);
        System.exit(status);
    }
}
