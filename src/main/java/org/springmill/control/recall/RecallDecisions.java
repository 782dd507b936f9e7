package org.springmill.control.recall;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.springmill.control.borrowing.Recall;
import org.springmill.control.borrowing.RecallLog;
import org.springmill.control.borrowing.RecallProgress;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.recall.RecallReservations.ActiveRecall;
import org.springmill.protocol.Resources;
import org.springmill.protocol.TaskId;
import org.springmill.transport.EventLoop;

/** Turns the plans of one round into recalls: as many as fit into the round's record. */
final class RecallDecisions {
    private final EventLoop loop;
    private final RecallLog recallLog;
    private final RecallPlanner planner;
    private final RecallReservations reservations;
    private final VictimStops victimStops;
    private final GracePeriods grace;

    RecallDecisions(
            RecallContext context,
            RecallLog recallLog,
            RecallPlanner planner,
            RecallReservations reservations,
            VictimStops victimStops,
            GracePeriods grace) {
        this.loop = context.loop();
        this.recallLog = recallLog;
        this.planner = planner;
        this.reservations = reservations;
        this.victimStops = victimStops;
        this.grace = grace;
    }

    /**
     * Decides recalls, reserves the capacity they free and marks their victims; empty if no plan is
     * due.
     */
    List<ActiveRecall> decide(long round, double now) {
        if (!planner.isDue()) {
            return List.of();
        }
        List<RecallPlan> withoutVictims = new ArrayList<>();
        List<ActiveRecall> decided = new ArrayList<>();
        List<Recall> recalls = new ArrayList<>();
        for (RecallPlan plan : planner.plan()) {
            if (plan.needsNoVictims()) {
                withoutVictims.add(plan);
                continue;
            }
            double checkpointTimeoutSeconds =
                    grace.checkpointTimeoutSeconds(grace.longestCheckpointSeconds(plan.victims()));
            Recall recall =
                    recall(
                            plan,
                            round,
                            recalls.size(),
                            loop.timeOfDay() + checkpointTimeoutSeconds);
            if (recallLog.fits(recalls, recall)) {
                recalls.add(recall);
                decided.add(activate(plan, recall, checkpointTimeoutSeconds, now));
            }
        }
        reservations.setExpectedCapacity(withoutVictims);
        return decided;
    }

    private static Recall recall(RecallPlan plan, long round, int ordinal, double graceEndsAt) {
        List<TaskId> victims =
                plan.victims().stream().map(victim -> victim.claim().task()).toList();
        return Recall.decide(
                round,
                ordinal,
                plan.machine().name(),
                plan.beneficiary().id(),
                Resources.of(plan.beneficiary().spec()),
                victims,
                graceEndsAt);
    }

    private ActiveRecall activate(
            RecallPlan plan, Recall recall, double checkpointTimeoutSeconds, double now) {
        double lost = average(plan.victims(), victim -> grace.lostWorkSeconds(victim, now));
        double ran = average(plan.victims(), victim -> victim.runningSeconds(now));
        RecallProgress progress =
                new RecallProgress(recall, checkpointTimeoutSeconds, grace.endTimeoutSeconds());
        ActiveRecall active =
                new ActiveRecall(
                        progress,
                        plan.beneficiary(),
                        plan.machine(),
                        plan.victims(),
                        lost,
                        ran,
                        now);
        victimStops.markRecalled(active);
        reservations.add(active);
        return active;
    }

    private static double average(
            List<TaskAttempt> victims, ToDoubleFunction<TaskAttempt> seconds) {
        return victims.stream().mapToDouble(seconds).average().orElse(0);
    }
}
