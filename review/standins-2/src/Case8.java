import java.util.List;

/**
 * The zone of the leader is cut off, a user cancels a job, the state service is out, and all
 * controllers crash.
 */
public final class Case8 {
    private static final String JOB = "run-000001";
    private static final double CANCEL_S = 44;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], Case8::run);
    }

    private static Site.Figures bennani() {
        Site.Figures figures = new Site.Figures();
        figures.reportS = 2;
        figures.rps = 120;
        figures.writeRps = 20;
        figures.txnOps = 12;
        figures.lagS = 3;
        figures.cpuShare = 0.136;
        figures.sockets = 700;
        figures.zones = List.of("casablanca-port", "rabat-agdal", "tangier-med");
        figures.types = List.of(new Cloud.Type("caravan", 48, 8, 288, 400, 2.0, 23.78, 35));
        figures.teams = List.of("souk-desk", "relay-ops");
        figures.limits = "cpus = 0.0\ncpus_max = 0.0\ngpus = 500.0\ngpus_max = 1500.0\n";
        return figures;
    }

    private static int run() throws Exception {
        try (Site site = new Site(bennani())) {
            site.startAll();
            site.awaitReady(20);
            int inside = site.awaitLeader(10);
            int first = (inside + 1) % 3;
            String zone = site.zone(inside);
            site.cloud().rent("caravan", zone, false, 0, true);
            Site.Job job =
                    new Site.Job(
                            JOB, "souk-desk", true, "urgent", 1, 4, 1, 20, "img-barid", 1, 0, 0, 0,
                            0);
            if (!site.submit(job, 10)) {
                throw new IllegalStateException("not accepted");
            }
            for (int i = 0; i < 100 && site.runningCount(JOB) == 0; i++) {
                Kit.sleep(0.1);
            }
            Kit.sleep(3);
            if (site.runningCount(JOB) == 0 || site.leader() != inside) {
                throw new IllegalStateException("the task does not run, or the leader changed");
            }
            site.cut(zone);
            Kit.sleep(0.3);
            Kit.Answer answer = site.withdraw(first, JOB);
            double told = Kit.time();
            Kit.record(site.node(first) + " answers the withdrawal of " + JOB + ": " + answer);
            if (!answer.text("phase").equals("cancelled")) {
                throw new IllegalStateException("not told in time");
            }
            site.store().down(true);
            Kit.sleep(2);
            if (Kit.trouble()) {
                for (int i = 0; i < site.nodes(); i++) {
                    site.kill(i);
                }
                Kit.sleep(6);
                site.startAll();
            }
            while (Kit.time() < told + CANCEL_S + 1) {
                Kit.sleep(0.2);
            }
            boolean broken = site.runningCount(JOB) > 0;
            Kit.record(
                    String.format("%.1f s after its user was told: ", Kit.time() - told)
                            + "tasks of " + JOB + " on machines: " + site.runningCount(JOB));
            site.store().down(false);
            site.cut("");
            Kit.record(broken ? "BROKEN: ran_cancelled" : "held");
            return broken ? 1 : 0;
        }
    }
}
