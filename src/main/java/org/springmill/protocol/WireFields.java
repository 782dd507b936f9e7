package org.springmill.protocol;

/**
 * Names of the JSON fields on the wire. Each constant is named after the term that this program
 * uses. Only the fixed responses of {@link ArchiveTrainingMessages} spell the names as well.
 */
public final class WireFields {
    private WireFields() {}

    // Jobs

    /** Id of a job. */
    public static final String JOB_ID = "nameId";

    /** Class of a job, for which the settings hold objectives. */
    public static final String JOB_CLASS = "grist";

    /** Team whose quota applies. */
    public static final String TEAM = "crew";

    /** Kind of a job: array, service or gang. */
    public static final String JOB_KIND = "shape";

    /** Priority of a job. */
    public static final String PRIORITY = "urgency";

    /** Number of tasks of a job; in a heartbeat, the list of tasks on the machine. */
    public static final String TASKS = "sacks";

    /** CPUs of a task or a machine type. */
    public static final String CPUS = "vcpus";

    /** GPUs of a task or a machine type. */
    public static final String GPUS = "cards";

    /** Memory of a task or a machine type, in GB. */
    public static final String MEMORY_GB = "memGb";

    /** Image that a machine needs before a task can start. */
    public static final String IMAGE = "mould";

    /** Size of the image, in GB. */
    public static final String IMAGE_GB = "pullGb";

    /** Allowed machine types of a job; in a response of the cloud, all types that it offers. */
    public static final String MACHINE_TYPES = "frames";

    /** Zone of a machine, or the only allowed zone of a job. */
    public static final String ZONE = "yard";

    /** Whether all tasks must be in the same zone. */
    public static final String ONE_ZONE = "samePlace";

    /** Whether at most half of the tasks may be in one zone. */
    public static final String SPREAD = "apart";

    /** Whether a machine is a spot machine, or a job may use them. */
    public static final String SPOT = "loaner";

    /** Estimated run time of a task, in seconds. */
    public static final String ESTIMATED_RUN_SECONDS = "expectS";

    /** Interval of a task's checkpoints, in seconds. */
    public static final String CHECKPOINT_INTERVAL_SECONDS = "stashEveryS";

    /** Time that a task takes to save a checkpoint, in seconds. */
    public static final String CHECKPOINT_SAVE_SECONDS = "stashS";

    /** Deadline of a job, in seconds from its submission. */
    public static final String DEADLINE_SECONDS = "dueS";

    /** Jobs that must be done before a job starts. */
    public static final String DEPENDENCIES = "waitsOn";

    /** Phase of a job, a task or a machine. */
    public static final String PHASE = "phase";

    /** Number of tasks that are done. */
    public static final String DONE_TASKS = "done";

    /** Number of tasks that run. */
    public static final String RUNNING_TASKS = "running";

    /** Reason of a refusal. */
    public static final String ERROR = "error";

    // Workers

    /** Name of the machine that a heartbeat comes from. */
    public static final String MACHINE = "stone";

    /** Address on which a worker takes commands. */
    public static final String ADDRESS = "addr";

    /** Type of a machine. */
    public static final String MACHINE_TYPE = "frame";

    /** Epoch of a worker, which increases each time its lease expires. */
    public static final String EPOCH = "shift";

    /** Sequence number of a worker's message. */
    public static final String SEQUENCE = "tally";

    /** Fencing token of a leader. */
    public static final String FENCING_TOKEN = "baton";

    /** Seconds until the cloud preempts a spot machine. */
    public static final String PREEMPTION_NOTICE_SECONDS = "warningS";

    /** Id of a task. */
    public static final String TASK = "sack";

    /** Number of a task's attempt. */
    public static final String ATTEMPT = "try";

    /** Why a task has ended. */
    public static final String EXIT_CAUSE = "cause";

    /** Node of the leader, to which a worker is redirected. */
    public static final String LEADER = "foreman";

    /** Commands to a worker. */
    public static final String COMMANDS = "orders";

    /** Action that a command requests: start, stop or forget a task. */
    public static final String VERB = "verb";

    /** Time that a stopped task has to save a checkpoint, in seconds. */
    public static final String GRACE_SECONDS = "windDownS";

    // The cloud

    /** Machines, or their names. */
    public static final String MACHINES = "stones";

    /** Name of a machine in the cloud's list. */
    public static final String MACHINE_NAME = "nameId";

    /** Name of a machine type. */
    public static final String TYPE_NAME = "sku";

    /** Size of a machine's image cache, in GB. */
    public static final String CACHE_GB = "localGb";

    /** Rate at which a machine fetches images, in GB per second. */
    public static final String FETCH_GB_PER_SECOND = "pullGbPerS";

    /** Price of an ordinary machine, per hour. */
    public static final String PRICE = "price";

    /** Price of a spot machine, per hour. */
    public static final String SPOT_PRICE = "marketPrice";

    /** Nominal boot time, in seconds. */
    public static final String BOOT_SECONDS = "bootS";

    /** Zones in which a machine type is offered. */
    public static final String ZONES = "yards";

    /** Idempotency key of a rental request. */
    public static final String RENTAL_REQUEST = "hire";

    /** Number of machines to rent. */
    public static final String COUNT = "count";

    /** Seconds since a machine was rented. */
    public static final String AGE_SECONDS = "heldS";

    /** Whether further pages follow. */
    public static final String TRUNCATED = "truncated";

    // The key-value store

    /** Key of an entry or a condition. */
    public static final String KEY = "key";

    /** Value of a key. */
    public static final String VALUE = "value";

    /** Revision of a key's last change. */
    public static final String VERSION = "stamp";

    /** Lease that a key is attached to. */
    public static final String LEASE = "tenancy";

    /** Time to live of a lease, in milliseconds. */
    public static final String TIME_TO_LIVE_MILLISECONDS = "ttlMs";

    /** Conditions of a transaction. */
    public static final String CONDITIONS = "when";

    /** Writes of a transaction. */
    public static final String WRITES = "writes";

    /** Key that is put. */
    public static final String PUT = "write";

    /** Key that is deleted. */
    public static final String DELETE = "delete";

    /** Revision of the store. */
    public static final String REVISION = "ledgerRev";

    /** Keys whose conditions did not hold. */
    public static final String FAILED_KEYS = "failed";

    /** Entries of a page. */
    public static final String ENTRIES = "pairs";

    /** Changes in the response to a watch. */
    public static final String CHANGES = "news";
}
