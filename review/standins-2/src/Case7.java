/** A controller starts and is refused by the state service alone in the middle of its first read. */
public final class Case7 {
    private static final String JOB = "run-000001";
    private static final int OTHERS = 120;

    private static boolean refusing;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], Case7::run);
    }

    private static int run() throws Exception {
        Site.Figures figures = new Site.Figures();
        figures.operator = "history {\n  retention_s = 30\n}\n";
        try (Site site = new Site(figures)) {
            site.cloud().rent("supercell", "atlanta-east", false, 0, true);
            site.cloud().rent("supercell", "macon-south", false, 0, true);
            site.startAll();
            site.awaitReady(20);
            for (int i = 2; i <= OTHERS + 1; i++) {
                submit(
                        site,
                        new Site.Job(
                                String.format("run-%06d", i), "doppler-desk-00", true, "prod", 1,
                                0.1, 0, 0.1, "img-gateway", 0.1, 0, 0, 0, 0));
            }
            submit(
                    site,
                    new Site.Job(
                            JOB, "doppler-desk-01", false, "normal", 1, 1, 0, 1, "img-sweep", 0.1,
                            10, 10, 0, 0));
            int leader = site.awaitLeader(5);
            int restarted = (leader + 1) % 3;
            int other = (leader + 2) % 3;
            String node = site.node(restarted);
            site.store()
                    .setTrouble((from, method, target) -> Kit.trouble() && refuses(node, from, target));
            site.kill(restarted);
            site.start(restarted);
            boolean done = false;
            boolean archived = false;
            for (int second = 0; second < 70 && !(done && archived); second++) {
                Kit.sleep(1);
                Kit.Answer answer = site.ask(other, JOB);
                done = answer.text("phase").equals("done");
                archived = site.store().value("ended/" + JOB) != null;
                if (second % 5 == 0 || archived) {
                    Kit.record(site.node(other) + " says " + answer);
                }
            }
            if (!done) {
                Kit.record("the job is not done: the case could not run");
                throw new IllegalStateException("not accepted or not running");
            }
            site.store().setTrouble((from, method, target) -> false);
            Kit.record("state service serves " + node + " again");
            boolean broken = false;
            for (int second = 0; second < 10; second++) {
                Kit.sleep(1);
                Kit.Answer answer = site.ask(restarted, JOB);
                Kit.record(node + " says " + answer);
                Kit.record(site.node(other) + " says " + site.ask(other, JOB));
                broken |= answer.status() == 200 && !answer.text("phase").equals("done");
                broken |= answer.status() == 404;
            }
            Kit.record(broken ? "BROKEN: went_back" : "held");
            return broken ? 1 : 0;
        }
    }

    private static void submit(Site site, Site.Job job) {
        if (!site.submit(job, 15)) {
            throw new IllegalStateException("not accepted or not running");
        }
    }

    /** From the second page of the job records on, the node gets 503. */
    private static boolean refuses(String node, String from, String target) {
        if (!refusing && from.equals(node) && target.startsWith("/store?under=job/&from=")) {
            refusing = true;
            Kit.record("state service refuses " + node + " from now on: " + target);
        }
        return refusing && from.equals(node);
    }
}
