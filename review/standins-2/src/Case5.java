/**
 * A new leader is refused by the state service for a second while it recovers; the leader after it
 * does not know tasks that run.
 */
public final class Case5 {
    private static final int JOBS = 30;
    private static final double REFUSED_S = 1;
    private static final double HANG_S = 6;

    private static double refusedUntil;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], Case5::run);
    }

    private static int run() throws Exception {
        Site.Figures figures = new Site.Figures();
        figures.operator = "borrowing {\n  max_grace_leases = 1.0\n}\n";
        try (Site site = new Site(figures)) {
            for (int i = 0; i < 3; i++) {
                site.cloud().rent("supercell", "atlanta-east", false, 0, true);
                site.cloud().rent("supercell", "macon-south", false, 0, true);
            }
            site.startAll();
            site.awaitReady(20);
            for (int i = 1; i <= JOBS; i++) {
                submit(site, i);
                Kit.sleep(0.15);
            }
            double until = Kit.time() + 15;
            for (int i = 1; i <= JOBS; i++) {
                while (site.machinesOf(sack(i)).size() != 1) {
                    if (Kit.time() > until) {
                        throw new IllegalStateException(sack(i) + " does not run");
                    }
                    Kit.sleep(0.1);
                }
            }
            Kit.sleep(3);
            int first = site.awaitLeader(5);
            site.store()
                    .setTrouble(
                            (node, method, target) ->
                                    Kit.trouble() && refuses(node, site.node(first), target));
            site.kill(first);
            Kit.sleep(8);
            site.start(first);
            int second = site.awaitLeader(10);
            Kit.record("the leader is now " + site.node(second));
            for (int i = 101; i <= 104; i++) {
                submit(site, i);
                Kit.sleep(0.5);
            }
            Kit.sleep(4);
            int last = site.awaitLeader(5);
            Worker machine = site.cloud().worker(site.machinesOf(sack(1)).iterator().next());
            machine.hang(true);
            site.kill(last);
            Kit.sleep(HANG_S);
            machine.hang(false);
            Kit.sleep(2);
            site.start(last);
            Kit.sleep(6);
            Kit.record("tasks that ran twice: " + site.ranTwice().size());
            Kit.record(site.ranTwice().isEmpty() ? "held" : "BROKEN: ran_twice");
            return site.ranTwice().isEmpty() ? 0 : 1;
        }
    }

    private static String sack(int i) {
        return String.format("run-%06d/0", i);
    }

    private static void submit(Site site, int i) {
        Site.Job job =
                new Site.Job(
                        String.format("run-%06d", i), "doppler-desk-00", true, "prod", 1, 4, 0, 4,
                        "img-gateway", 0.1, 0, 0, 0, 0);
        if (!site.submit(job, 25)) {
            throw new IllegalStateException("not accepted");
        }
    }

    /** From the first read of the recalls by a new leader on, that node gets 503 for a second. */
    private static boolean refuses(String node, String earlier, String target) {
        if (refusedUntil == 0
                && target.startsWith("/store?under=recall/")
                && !node.equals(earlier)) {
            refusedUntil = Kit.time() + REFUSED_S;
            refusedNode = node;
            Kit.record("state service refuses " + node + " for " + REFUSED_S + " s: " + target);
        }
        return node.equals(refusedNode) && Kit.time() < refusedUntil;
    }

    private static String refusedNode = "";
}
