package org.springmill.emulator;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.springmill.emulator.Measurements.Percentiles;
import org.springmill.emulator.Measurements.Rates;

/**
 * Measurements of one emulation. Latencies are in milliseconds and rates are per second; both cover
 * the time after the warm-up.
 *
 * @param scaledTo size of the scenario
 * @param emulatorProcessorShare processor time of the emulator itself, as a share of one core
 * @param workerBytesPerS bytes per second of bodies to and from a worker, on average
 * @param refusals temporarily refused submissions, by the reason in the response
 * @param timeline one point per second
 * @param serving measurements of the served model; null if the scenario serves none
 * @param violations the first hundred violations of protocol rules
 */
public record EmulationResult(
        String scenario,
        long seed,
        double measuredS,
        Size scaledTo,
        String run,
        Map<String, Percentiles> latencyMs,
        Map<String, Rates> perSecond,
        Map<String, Long> answers,
        Map<String, Long> refusals,
        List<ControllerUse> controllers,
        double emulatorProcessorShare,
        double workerBytesPerS,
        StoreUse stateService,
        Work work,
        List<FaultRecord> faults,
        List<Point> timeline,
        @JsonInclude(JsonInclude.Include.NON_NULL) Serving serving,
        long violationCount,
        List<String> violations) {

    /** Size of the emulated system. */
    public record Size(int machines, int zones, int regions, int teams, int controllers) {}

    /** Resources that one controller used, and its unexpected ends. */
    public record ControllerUse(
            String name,
            double processorShare,
            double peakMb,
            int peakSockets,
            int unexpectedEnds,
            double secondsUntilReady) {}

    /** Load on the key-value store, and requests that it refused. */
    public record StoreUse(
            double requestsPerS,
            double writesPerS,
            long refusedForRate,
            long refusedForSize,
            int keys) {}

    /** Counts of tasks and jobs. */
    public record Work(
            long starts,
            long repeatedStarts,
            double peakStartsPerS,
            long ends,
            long lost,
            int peakRunning,
            int runningAtEnd,
            int unfinishedJobs,
            long submissionsGivenUp) {}

    /**
     * A fault and its effect on running tasks.
     *
     * @param runningBefore tasks on machines when the fault began
     * @param lowestRunning lowest number of tasks on machines from then until the recovery
     * @param recoveredS seconds from the beginning of the fault until nearly as many tasks as
     *     before run again; negative if that did not happen; 0 if hardly any task was lost
     */
    public record FaultRecord(
            String name,
            String kind,
            double atS,
            int runningBefore,
            int lowestRunning,
            double recoveredS) {}

    /**
     * One second of the emulation, counted from when the controllers were ready.
     *
     * @param accepted jobs accepted in that second
     */
    public record Point(
            int second,
            int running,
            long starts,
            long ends,
            int unfinishedJobs,
            int ready,
            long accepted) {}

    /**
     * Measurements of a model whose team lends its unused capacity to other work.
     *
     * @param secondsToCapacity from the beginning of the surge until the loaded replicas can answer
     *     all requests; negative if that never happened
     * @param samplesBelow samples of a team that was pushed below its entitlement
     * @param samplesAbove samples of a team above its limit
     * @param lostTaskSeconds run time of tasks, other than of services, that was lost since no
     *     checkpoint holds it
     * @param counters recall counters of the controllers
     */
    public record Serving(
            double secondsToCapacity,
            long answered,
            long refused,
            long unanswered,
            long samples,
            long samplesBelow,
            long samplesAbove,
            double batchTaskSeconds,
            double lostTaskSeconds,
            long tasksStopped,
            long tasksResumed,
            long tasksStartedAnew,
            double idleGpuSeconds,
            Map<String, Double> counters,
            List<ServingPoint> timeline) {}

    /** One second of a served model, with the GPUs in use by team. */
    public record ServingPoint(
            int second,
            double demand,
            double capacity,
            double batchGpus,
            Map<String, Double> gpusByTeam,
            long answered,
            long refused) {}

    /** Whether no rule was violated. */
    public boolean rulesHeld() {
        return violationCount == 0;
    }

    /** Writes the result as JSON. */
    public void write(Path file) throws IOException {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        Files.write(file, mapper.writeValueAsBytes(this));
    }
}
