import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Jobs that each wait for some hundred others, which are all accepted. */
public final class Case6 {
    private static final int ROOTS = 590;
    private static final int WAITING = 2500;
    private static final int USERS = 24;
    private static final double UNTIL_S = 70;
    private static final double LIMIT_MB = 176;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], Case6::run);
    }

    private static int run() throws Exception {
        try (Site site = new Site(new Site.Figures())) {
            for (int i = 0; i < 2; i++) {
                site.cloud().rent("supercell", "atlanta-east", false, 0, true);
                site.cloud().rent("supercell", "macon-south", false, 0, true);
            }
            site.startAll();
            site.awaitReady(20);
            int[] killed = new int[site.nodes()];
            site.enforceMemory(LIMIT_MB, killed);
            List<String> roots = new ArrayList<>();
            for (int i = 1; i <= ROOTS; i++) {
                roots.add(String.format("run-%06d", i));
            }
            ExecutorService users = Executors.newFixedThreadPool(USERS);
            AtomicInteger accepted = new AtomicInteger();
            AtomicInteger left = new AtomicInteger(ROOTS);
            for (String id : roots) {
                users.submit(
                        () -> {
                            accepted.addAndGet(site.submit(job(id), 20) ? 1 : 0);
                            left.decrementAndGet();
                        });
            }
            while (left.get() > 0) {
                Kit.sleep(0.2);
            }
            if (accepted.get() != ROOTS) {
                throw new IllegalStateException("not all accepted");
            }
            AtomicInteger waiting = new AtomicInteger();
            for (int i = 0; i < WAITING; i++) {
                int number = i;
                users.submit(
                        () -> {
                            if (Kit.time() < UNTIL_S) {
                                Site.Job job = job(String.format("run-%06d", 100_000 + number));
                                Site.Job sent = Kit.trouble() ? job.after(roots) : job;
                                double seconds = UNTIL_S - Kit.time();
                                boolean ok = site.submit(sent, seconds, number % site.nodes());
                                waiting.addAndGet(ok ? 1 : 0);
                            }
                        });
            }
            while (Kit.time() < UNTIL_S + 30) {
                Kit.sleep(4);
                StringBuilder line = new StringBuilder("accepted " + waiting.get() + " more;");
                for (int i = 0; i < site.nodes(); i++) {
                    line.append(" " + site.node(i) + " holds " + Math.round(site.heldMb(i)) + " MB");
                    line.append(", answers " + site.ask(i, roots.get(0)).status() + ";");
                }
                Kit.record(line.toString());
            }
            Kit.record("the last job was accepted before " + Math.round(UNTIL_S) + " s");
            int ends = 0;
            for (int i = 0; i < site.nodes(); i++) {
                Kit.record(site.node(i) + " was killed for memory " + killed[i] + " times");
                ends += killed[i];
            }
            Kit.record(ends > 0 ? "BROKEN: controllers end for memory" : "held");
            return ends > 0 ? 1 : 0;
        }
    }

    private static Site.Job job(String id) {
        return new Site.Job(
                id, "doppler-desk-00", false, "normal", 1, 0.1, 0, 0.1, "img-tiles", 0.1, 600, 600,
                0, 0);
    }
}
