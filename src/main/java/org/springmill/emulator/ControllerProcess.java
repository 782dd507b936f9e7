package org.springmill.emulator;

import java.io.File;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One controller as a real process, which can be restarted after it has ended. */
final class ControllerProcess {
    private static final double CLOCK_TICKS_PER_SECOND = 100;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final double KB_PER_MB = 1024;

    private final List<String> command;
    private final File log;
    private Process process;
    private double ticksOfEarlierProcesses;
    private double peakMb;
    private int peakSockets;
    private int unexpectedEnds;
    private boolean endRecorded;

    /**
     * @param run program and arguments, separated by white space
     * @param settings settings file, passed as the last argument
     * @param log file that output and errors are appended to
     */
    ControllerProcess(String run, Path settings, File log) {
        command = new ArrayList<>(List.of(run.trim().split("\\s+")));
        command.add(settings.toString());
        this.log = log;
    }

    void start() throws IOException {
        endRecorded = false;
        process =
                new ProcessBuilder(command)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .redirectError(ProcessBuilder.Redirect.appendTo(log))
                        .start();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** Kills the process without a shutdown of its own. */
    void kill() {
        if (alive()) {
            sample();
            ticksOfEarlierProcesses += ticks();
            endRecorded = true;
            process.destroyForcibly();
        }
    }

    /**
     * Counts a process that has ended without {@link #kill}. Returns true once for each such
     * process; it has to be restarted.
     */
    boolean recordUnexpectedEnd() {
        if (process == null || process.isAlive() || endRecorded) {
            return false;
        }
        unexpectedEnds++;
        endRecorded = true;
        return true;
    }

    /** Updates the peaks of memory and sockets with the current values. */
    void sample() {
        if (!alive()) {
            return;
        }
        peakMb = Math.max(peakMb, residentMb());
        peakSockets = Math.max(peakSockets, sockets());
    }

    /** Processor time of the current process and of those that {@link #kill} ended. */
    double processorSeconds() {
        return (ticksOfEarlierProcesses + (alive() ? ticks() : 0)) / CLOCK_TICKS_PER_SECOND;
    }

    double peakMb() {
        return peakMb;
    }

    int peakSockets() {
        return peakSockets;
    }

    int unexpectedEnds() {
        return unexpectedEnds;
    }

    private Path proc(String name) {
        return Path.of("/proc", Long.toString(process.pid()), name);
    }

    private double ticks() {
        try {
            String stat = Files.readString(proc("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Double.parseDouble(fields[USER_TICKS_FIELD])
                    + Double.parseDouble(fields[SYSTEM_TICKS_FIELD]);
        } catch (IOException e) {
            return 0;
        }
    }

    private double residentMb() {
        try {
            for (String line : Files.readAllLines(proc("status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) / KB_PER_MB;
                }
            }
        } catch (IOException e) {
            // The process has just ended.
        }
        return 0;
    }

    private int sockets() {
        int count = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(proc("fd"))) {
            for (Path file : files) {
                count += Files.readSymbolicLink(file).toString().startsWith("socket:") ? 1 : 0;
            }
        } catch (IOException | java.nio.file.DirectoryIteratorException e) {
            // The process has just ended or closed a file.
        }
        return count;
    }
}
