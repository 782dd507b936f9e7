package org.springmill.emulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.emulator.EmulatedWorker.Environment;
import org.springmill.emulator.EmulatedWorker.Ports;
import org.springmill.emulator.JobRegistry.EmulatedJob;
import org.springmill.emulator.Measurements.Latency;
import org.springmill.emulator.Scenario.MachineGroup;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Forget;
import org.springmill.protocol.WorkerMessages.Start;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.protocol.WorkerMessages.TaskStatus;
import org.springmill.transport.EventLoop;

/**
 * The tasks of one emulated worker. Fetches their images, runs, stops and kills them within the
 * resources of the machine. A task only takes time; no program is run.
 */
final class EmulatedTasks {
    private static final Logger LOG = LoggerFactory.getLogger(EmulatedTasks.class);
    private static final double TOLERANCE = 1e-6;

    private final String machine;
    private final String address;
    private final MachineGroup type;
    private final Environment environment;
    private final EventLoop loop;
    private final Ports ports;
    private final Runnable statusChanged;
    private final Map<Key, Task> tasks = new HashMap<>();
    private final Set<String> images = new HashSet<>();

    /** One attempt to run a task. */
    private record Key(TaskId task, long attempt) {}

    private static final class Task {
        private final Key key;
        private final Submission spec;
        private final double commandedAt;
        private TaskState state = TaskState.FETCHING;
        private ExitCause cause = ExitCause.NONE;
        private double runningSince;

        /** The model server of a running replica of a model; null for other tasks. */
        private ModelServer server;

        Task(Key key, Submission spec, double commandedAt) {
            this.key = key;
            this.spec = spec;
            this.commandedAt = commandedAt;
        }

        boolean holdsResources() {
            return state != TaskState.EXITED;
        }

        boolean isRunningOrSaving() {
            return state == TaskState.RUNNING || state == TaskState.SAVING;
        }
    }

    /**
     * @param machine name of the worker's machine
     * @param address address of the worker, which tasks without a model server report as theirs
     * @param statusChanged called when the status of a task has changed
     */
    EmulatedTasks(
            String machine,
            String address,
            MachineGroup type,
            Environment environment,
            EventLoop loop,
            Ports ports,
            Runnable statusChanged) {
        this.machine = machine;
        this.address = address;
        this.type = type;
        this.environment = environment;
        this.loop = loop;
        this.ports = ports;
        this.statusChanged = statusChanged;
    }

    /** The status of all tasks, in the form that heartbeats list. */
    List<TaskStatus> statuses() {
        List<TaskStatus> statuses = new ArrayList<>(tasks.size());
        for (Task task : tasks.values()) {
            statuses.add(
                    new TaskStatus(task.key.task(), task.key.attempt(), task.state, task.cause));
        }
        return statuses;
    }

    /** Deletes the cached images, as if the machine was replaced. */
    void clearImageCache() {
        images.clear();
    }

    /**
     * Kills all tasks without a checkpoint, as when the lease expires or the machine fails or is
     * deleted.
     */
    void killAll() {
        tasks.values().stream().filter(Task::isRunningOrSaving).forEach(this::recordKilled);
        tasks.clear();
        environment.observer().cleared(machine);
    }

    /** Executes a command. Commands are idempotent: a repeated one has no effect. */
    void execute(Command command) {
        Key key = new Key(command.task(), command.attempt());
        Task task = tasks.get(key);
        if (command instanceof Start) {
            if (task == null) {
                start(key);
            }
        } else if (command instanceof Stop stop) {
            if (task != null) {
                stop(task, stop.graceSeconds());
            }
        } else if (command instanceof Forget && task != null && !task.holdsResources()) {
            tasks.remove(key);
        }
    }

    private void start(Key key) {
        EmulatedJob job = environment.jobs().find(key.task().job());
        environment.observer().startCommanded(key.task());
        Task task = new Task(key, job == null ? null : job.spec(), loop.now());
        ExitCause refusal = startRefusal(task);
        tasks.put(key, task);
        if (refusal != ExitCause.NONE) {
            end(task, refusal);
            return;
        }
        boolean cached = images.contains(job.spec().image());
        double fetchSeconds = cached ? 0 : job.spec().imageGb() / type.fetchGbPerSecond();
        loop.after(fetchSeconds, () -> run(task, job));
        statusChanged.run();
    }

    private ExitCause startRefusal(Task task) {
        if (task.spec == null) {
            return ExitCause.UNKNOWN_JOB;
        }
        double cpus = type.cpus() - task.spec.cpus();
        double gpus = type.gpus() - task.spec.gpus();
        double memory = type.memoryGb() - task.spec.memoryGb();
        for (Task other : tasks.values()) {
            if (other.holdsResources()) {
                if (other.key.task().equals(task.key.task())) {
                    return ExitCause.BUSY;
                }
                cpus -= other.spec.cpus();
                gpus -= other.spec.gpus();
                memory -= other.spec.memoryGb();
            }
        }
        return Math.min(cpus, Math.min(gpus, memory)) < -TOLERANCE
                ? ExitCause.NO_ROOM
                : ExitCause.NONE;
    }

    private boolean isCurrent(Task task) {
        return tasks.get(task.key) == task;
    }

    private void run(Task task, EmulatedJob job) {
        if (!isCurrent(task) || task.state != TaskState.FETCHING) {
            return;
        }
        images.add(task.spec.image());
        task.state = TaskState.RUNNING;
        task.runningSince = loop.now();
        String modelAddress =
                environment
                        .scenario()
                        .serving()
                        .filter(serving -> job.spec().isService())
                        .map(serving -> serveModel(task, serving))
                        .orElse(address);
        environment.measurements().latency(Latency.START, loop.now() - task.commandedAt);
        environment.observer().started(task.key.task(), machine, modelAddress);
        if (!job.spec().isService()) {
            double secondsLeft = environment.jobs().secondsLeft(task.key.task(), job);
            loop.after(secondsLeft, () -> finish(task));
        }
        statusChanged.run();
    }

    private void finish(Task task) {
        if (isCurrent(task) && task.state == TaskState.RUNNING) {
            end(task, ExitCause.DONE);
        }
    }

    private void stop(Task task, double graceSeconds) {
        if (!task.holdsResources()) {
            return;
        }
        if (task.isRunningOrSaving()) {
            environment.observer().stopCommanded(task.key.task());
        }
        boolean saves =
                task.state == TaskState.RUNNING
                        && task.spec.hasCheckpoints()
                        && graceSeconds >= task.spec.checkpointSaveSeconds();
        if (saves) {
            task.state = TaskState.SAVING;
            double stoppedAt = loop.now();
            loop.after(task.spec.checkpointSaveSeconds(), () -> checkpointSaved(task, stoppedAt));
        } else if (isCurrent(task) && !(task.state == TaskState.SAVING && graceSeconds > 0)) {
            if (task.isRunningOrSaving()) {
                recordKilled(task);
            }
            end(task, ExitCause.STOPPED);
        }
    }

    private void checkpointSaved(Task task, double stoppedAt) {
        if (isCurrent(task) && task.state == TaskState.SAVING) {
            environment.jobs().progress().saved(task.key.task(), stoppedAt - task.runningSince);
            end(task, ExitCause.STOPPED);
        }
    }

    /** Records that a task ends without saving a checkpoint, and stops its model server. */
    private void recordKilled(Task task) {
        if (task.server != null) {
            task.server.stop();
        }
        if (!task.spec.isService()) {
            environment
                    .jobs()
                    .progress()
                    .killed(task.key.task(), task.spec, loop.now() - task.runningSince);
        }
    }

    private void end(Task task, ExitCause cause) {
        boolean wasRunningOrSaving = task.isRunningOrSaving();
        task.state = TaskState.EXITED;
        task.cause = cause;
        if (wasRunningOrSaving) {
            environment.observer().ended(task.key.task(), machine, cause == ExitCause.DONE);
        }
        statusChanged.run();
    }

    /**
     * Starts the model server of a replica and returns its address, or the worker's address if no
     * port can be opened.
     */
    private String serveModel(Task task, Scenario.Serving serving) {
        task.server = new ModelServer(loop, serving);
        try {
            return ports.listen(task.server);
        } catch (IOException e) {
            LOG.warn(
                    "cannot open a port for the model server of task {};"
                            + " reporting the worker's address {} as its address",
                    task.key.task(),
                    address,
                    e);
            return address;
        }
    }
}
