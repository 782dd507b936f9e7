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
 * What an emulation measured. Latencies are in milliseconds, rates a second, each over the time
 * after the warm-up.
 *
 * @param scaledTo machines, zones and teams of the scenario
 * @param emulatorProcessorShare of one core, that the emulation itself took
 * @param workerBytesPerS bodies to and from one worker on average
 * @param refusals submissions that were refused for now, by the reason that users were told
 * @param timeline one point a second
 * @param serving what came of a model that is served beside other work; null if none is
 * @param violations rules of the protocol that were broken; the first hundred
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

    /** Size of what was emulated. */
    public record Size(int machines, int zones, int regions, int teams, int controllers) {}

    /** What one controller used. */
    public record ControllerUse(
            String name,
            double processorShare,
            double peakMb,
            int peakSockets,
            int unexpectedEnds,
            double secondsUntilReady) {}

    /** What the key-value store was asked for. */
    public record StoreUse(
            double requestsPerS,
            double writesPerS,
            long refusedForRate,
            long refusedForSize,
            int keys) {}

    /** What was done. */
    public record Work(
            long starts,
            double peakStartsPerS,
            long ends,
            long lost,
            int peakRunning,
            int runningAtEnd,
            int unfinishedJobs,
            long submissionsGivenUp) {}

    /**
     * A failure and what came of it.
     *
     * @param runningBefore tasks on machines when it began
     * @param lowestRunning the fewest from then on
     * @param recoveredS from its beginning until nearly as many tasks run again; negative if not
     */
    public record FaultRecord(
            String name,
            String kind,
            double atS,
            int runningBefore,
            int lowestRunning,
            double recoveredS) {}

    /**
     * One second of the emulation, counted from the readiness of the controllers.
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
     * A model that is served on capacity which other work borrows meanwhile.
     *
     * @param secondsToCapacity from the beginning of the surge until loaded replicas can answer as
     *     much as is asked for; negative if that never came
     * @param samplesBelow samples of a team that was pushed below its guarantee
     * @param samplesAbove samples of a team above its limit
     * @param lostTaskSeconds work of arrays that was done and lost
     * @param counters what the controllers counted of recalls
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

    /** One second of a served model; GPUs by team. */
    public record ServingPoint(
            int second,
            double demand,
            double capacity,
            double batchGpus,
            Map<String, Double> gpusByTeam,
            long answered,
            long refused) {}

    /** Whether every rule held. */
    public boolean rulesHeld() {
        return violationCount == 0;
    }

    /** Writes the result as JSON. */
    public void write(Path file) throws IOException {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        Files.write(file, mapper.writeValueAsBytes(this));
    }
}
