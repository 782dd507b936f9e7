import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A user cancels a job that ten others with long records wait for; then another job is submitted. */
public final class Case8 {
    private static final int ROOTS = 590;
    private static final int WAITING = 10;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], Case8::run);
    }

    private static int run() throws Exception {
        try (Site site = new Site(new Site.Figures())) {
            for (int i = 0; i < 2; i++) {
                site.cloud().rent("supercell", "atlanta-east", false, 0, true);
                site.cloud().rent("supercell", "macon-south", false, 0, true);
            }
            site.startAll();
            site.awaitReady(20);
            List<String> roots = new ArrayList<>();
            for (int i = 1; i <= ROOTS; i++) {
                roots.add(String.format("run-%06d", i));
            }
            acceptAll(site, roots);
            int leader = site.awaitLeader(10);
            String mould = longestMould(site, roots);
            for (int i = 1; i <= WAITING; i++) {
                Site.Job job = job(String.format("run-2%05d", i), mould).after(roots);
                if (!site.submit(job, 10)) {
                    throw new IllegalStateException("not accepted");
                }
            }
            if (Kit.trouble()) {
                Kit.Answer answer = site.withdraw((leader + 1) % 3, roots.get(0));
                Kit.record("withdrawal of " + roots.get(0) + ": " + answer);
            }
            Kit.sleep(15);
            boolean broken = false;
            for (int i = 0; i < site.nodes(); i++) {
                Site.Job job =
                        job("run-30000" + i, "img-tiles").after(roots.subList(100, 500));
                Kit.Answer answer =
                        Kit.send("POST", site.api(i), "/submissions", job.submission(), 5);
                Kit.record(
                        "submission of " + job.id() + " to " + site.node(i)
                                + (i == site.leader() ? " (leader)" : "") + ": " + answer);
                broken |= answer.status() == 422;
            }
            Kit.record(broken ? "BROKEN: 422 for a job that can run" : "held");
            return broken ? 1 : 0;
        }
    }

    private static void acceptAll(Site site, List<String> roots) {
        ExecutorService users = Executors.newFixedThreadPool(24);
        AtomicInteger left = new AtomicInteger(ROOTS);
        AtomicInteger accepted = new AtomicInteger();
        for (int i = 0; i < ROOTS; i++) {
            int number = i;
            users.submit(
                    () -> {
                        Site.Job job = job(roots.get(number), "img-tiles");
                        boolean ok = site.submit(job, 45, number % site.nodes());
                        accepted.addAndGet(ok ? 1 : 0);
                        left.decrementAndGet();
                    });
        }
        while (left.get() > 0) {
            Kit.sleep(0.2);
        }
        if (accepted.get() != ROOTS) {
            throw new IllegalStateException("not all accepted");
        }
    }

    /** The longest name of an image with which a job that names all roots is accepted. */
    private static String longestMould(Site site, List<String> roots) {
        for (int length = 200; length > 10; length -= 2) {
            String mould = "i".repeat(length);
            Site.Job job = job("run-1000" + length, mould).after(roots);
            Kit.Answer answer = new Kit.Answer(503, null);
            for (int tries = 0; tries < 8 && answer.status() != 201 && answer.status() != 422;
                    tries++) {
                answer = Kit.send("POST", site.api(0), "/submissions", job.submission(), 5);
                if (answer.status() != 201 && answer.status() != 422) {
                    Kit.sleep(1);
                }
            }
            if (answer.status() == 201) {
                Kit.record("accepted with an image name of " + length + " characters");
                return mould;
            }
        }
        throw new IllegalStateException("no length is accepted");
    }

    private static Site.Job job(String id, String mould) {
        return new Site.Job(
                id, "doppler-desk-00", false, "normal", 1, 0.1, 0, 0.1, mould, 0.1, 600, 600, 0, 0);
    }
}
