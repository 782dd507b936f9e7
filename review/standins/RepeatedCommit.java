import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Case 2: the leader crashes, and a copy of a transaction of its that was carried out reaches the
 * state service once more. Arguments: the repository, a temporary folder, the record. With REPEATS=0
 * the leader crashes and nothing is repeated.
 */
final class RepeatedCommit {
    private static final String JOB = "run-000412";
    private static final String SACK = JOB + "/0";
    private static final long RESTART_MS = 6000;
    private static final long COPY_AFTER_MS = 100;
    private static final double FILL_SECONDS = 45;

    private static final Map<String, String> machineBySack = new HashMap<>();
    private static int startsOfSack;
    private static String broken;

    private RepeatedCommit() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean repeats = !"0".equals(System.getenv("REPEATS"));
        Record.open(Path.of(arguments[2]));
        State state = new State(120, 20, 8, 12, 0.002);
        String stateAddress = state.start();
        Cloud cloud = new Cloud("[\"casablanca-port\",\"rabat-agdal\",\"tangier-med\"]");
        String cloudAddress = cloud.start();
        Controllers controllers = new Controllers(Path.of(arguments[0]), Path.of(arguments[1]));
        for (int node = 0; node < 3; node++) {
            controllers.configure(
                    node, new Controllers.Reach(stateAddress, cloudAddress, controllers.peer));
            controllers.start(node);
        }
        for (int node = 0; node < 3; node++) {
            if (!controllers.awaitReady(node, 15)) {
                exit(2, "a controller was not ready");
            }
        }
        for (int number = 1; number <= 4; number++) {
            Worker worker =
                    new Worker(
                            "host-00000" + number,
                            Controllers.ZONES.get(number % 3),
                            2,
                            14,
                            Controllers.NODES,
                            controllers.api,
                            (machine, node) -> true,
                            RepeatedCommit::run,
                            new Listener());
            worker.start();
            cloud.add(worker);
        }
        Thread.sleep(3000);

        // A replica fails on its first machine and runs on another from then on.
        int firstRequest = state.carriedOut().size();
        String body = Controllers.job(JOB, "service", "prod", 1, 30, null);
        if (controllers.user(0, "POST", "/submissions", body).status() != 201) {
            exit(2, "the job was not accepted");
        }
        await(15, () -> startsOfSack() >= 2, "the replica was not started again");
        List<String> requests = state.carriedOut();
        // The acceptance comes first; the next one records the decision for the first attempt.
        String copied = requests.get(firstRequest + 1);
        List<String> rounds = state.keysUnder("round/");
        String lastRound = rounds.get(rounds.size() - 1);

        // Small jobs come and go until the service has compacted the rounds of that time.
        int number = 500;
        double until = Record.now() + FILL_SECONDS;
        while (!(state.keysUnder("round/").get(0).compareTo(lastRound) > 0)) {
            if (Record.now() > until) {
                exit(2, "the rounds were not compacted");
            }
            String small = "run-000" + ++number;
            controllers.user(
                    number % 3,
                    "POST",
                    "/submissions",
                    Controllers.job(small, "sweep", "normal", 1, 1, null));
            Thread.sleep(300);
        }
        Record.line("the rounds of the replica's first attempt are compacted");
        Thread.sleep(4000);

        if (trouble) {
            int leader = Controllers.NODES.indexOf(state.value("leader").path("node").asText());
            controllers.kill(leader);
            Thread.sleep(COPY_AFTER_MS);
            if (repeats) {
                Http.Reply reply = state.repeat(copied);
                Record.line(
                        "state service: copy of a transaction that was carried out: %d %s <- %s",
                        reply.status(), reply.body(), copied);
            }
            Thread.sleep(RESTART_MS - COPY_AFTER_MS);
            controllers.start(leader);
        }
        double watchUntil = Record.now() + 25;
        while (Record.now() < watchUntil && broken() == null) {
            Thread.sleep(100);
        }
        exit(broken() == null ? 0 : 1, "see the lines above");
    }

    /** The replica fails in its first attempt after a second; other jobs are done in half of one. */
    private static Worker.Run run(String sack) {
        if (!sack.equals(SACK)) {
            return new Worker.Run(0.5, "done");
        }
        return startsOfSack() == 0 ? new Worker.Run(1, "error") : null;
    }

    private static synchronized int startsOfSack() {
        return startsOfSack;
    }

    private static synchronized String broken() {
        return broken;
    }

    /** Checks that no task starts on one machine while it is on another. */
    static final class Listener implements Worker.Listener {
        @Override
        public void started(String machine, String sack, long attempt) {
            synchronized (RepeatedCommit.class) {
                startsOfSack += sack.equals(SACK) ? 1 : 0;
                Record.line("%s: %s try %d starts", machine, sack, attempt);
                String other = machineBySack.put(sack, machine);
                if (other != null && !other.equals(machine)) {
                    broken = sack;
                    Record.line("ran_twice: %s starts on %s and is on %s", sack, machine, other);
                }
            }
        }

        @Override
        public void gone(String machine, String sack, long attempt, String why) {
            synchronized (RepeatedCommit.class) {
                Record.line("%s: %s try %d is gone: %s", machine, sack, attempt, why);
                machineBySack.remove(sack, machine);
            }
        }
    }

    private interface Check {
        boolean holds();
    }

    private static void await(double seconds, Check check, String otherwise) throws Exception {
        double until = Record.now() + seconds;
        while (!check.holds()) {
            if (Record.now() > until) {
                exit(2, otherwise);
            }
            Thread.sleep(50);
        }
    }

    private static void exit(int status, String reason) {
        Record.line("exit %d: %s", status, reason);
        System.exit(status);
    }
}
