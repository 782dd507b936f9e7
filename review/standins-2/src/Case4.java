import java.util.List;

/** One array of many tiny tasks, beside the replicas of another team. No machine or process fails. */
public final class Case4 {
    private static final String SERVICE = "run-000001";
    private static final String SWARM = "run-000002";
    private static final double RUN_S = 25;
    private static final double WAIT_S = 85;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], Case4::run);
    }

    private static int run() throws Exception {
        int sacks = Kit.trouble() ? 3000 : 800;
        try (Site site = new Site(new Site.Figures())) {
            site.cloud().rent("supercell", "atlanta-east", false, 0, true);
            site.cloud().rent("supercell", "macon-south", false, 0, true);
            site.startAll();
            site.awaitReady(20);
            Site.Job service =
                    new Site.Job(
                            SERVICE, "doppler-desk-00", true, "prod", 2, 1, 0, 1.1, "img-gateway",
                            1, 0, 0, 0, 0);
            Site.Job swarm =
                    new Site.Job(
                            SWARM, "doppler-desk-01", false, "best_effort", sacks, 0.04, 0, 0.05,
                            "img-pings", 0.5, RUN_S, RUN_S, 0, 0);
            if (!site.submit(service, 15)) {
                throw new IllegalStateException("not accepted or not running");
            }
            Kit.sleep(6);
            if (site.runningCount(SERVICE) != 2 || !site.submit(swarm, 15)) {
                Kit.record("the service does not run: the case could not run");
                throw new IllegalStateException("not accepted or not running");
            }
            double until = Kit.time() + WAIT_S;
            boolean done = false;
            for (int second = 0; !done && Kit.time() < until; second++) {
                Kit.sleep(1);
                Kit.Answer answer = site.ask(second % 3, SWARM);
                done = answer.text("phase").equals("done");
                if (second % 5 == 0 || done) {
                    Kit.record(site.node(second % 3) + " says " + answer.json());
                    machines(site.cloud().workers());
                }
            }
            return verdict(site, done, sacks);
        }
    }

    private static void machines(List<Worker> workers) {
        for (Worker worker : workers) {
            Kit.record(
                    worker.name()
                            + ": "
                            + worker.tasks().size()
                            + " tasks; its last report had "
                            + worker.lastReportBytes()
                            + " bytes and got status "
                            + worker.lastReportStatus()
                            + "; answers so far by status: "
                            + worker.answers());
        }
    }

    private static int verdict(Site site, boolean done, int sacks) {
        int leasesEnded = 0;
        int killed = 0;
        for (Worker worker : site.cloud().workers()) {
            leasesEnded += worker.leasesEnded();
            killed += worker.killed();
        }
        Kit.record(
                "tasks of "
                        + SWARM
                        + " completed: "
                        + site.doneCount(SWARM)
                        + " of "
                        + sacks
                        + ", starts: "
                        + site.startsOf(SWARM)
                        + "; starts of the 2 tasks of "
                        + SERVICE
                        + ": "
                        + site.startsOf(SERVICE)
                        + "; leases that ended on machines that could be reached all the time: "
                        + leasesEnded
                        + ", tasks killed by that: "
                        + killed);
        boolean broken = !done && leasesEnded > 0 && killed > 0;
        Kit.record(broken ? "BROKEN: accepted work is killed again and again" : "held");
        return broken ? 1 : 0;
    }
}
