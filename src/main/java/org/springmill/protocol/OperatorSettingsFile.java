package org.springmill.protocol;

import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads and checks the operators' settings file, which is HCL. The file is written by hand, so an
 * unknown block or field is rejected as a likely typing error.
 */
final class OperatorSettingsFile {
    private static final String RENTALS = "rentals";
    private static final String USERS = "users";
    private static final String IDLE_BOOTS = "idle_boots";
    private static final String BOOT_PATIENCE = "boot_patience";
    private static final String RESERVE = "reserve";
    private static final String UNGUARANTEED_PRICE_RATIO = "unguaranteed_price_ratio";
    private static final String PENDING_SUBMISSIONS = "pending_submissions";
    private static final String HISTORY = "history";
    private static final String RETENTION = "retention_s";
    private static final String ADMISSION = "admission";
    private static final String MAX_WAIT = "max_wait_s";
    private static final String LEADER_SHARE = "leader_share";
    private static final String BORROWING = "borrowing";
    private static final String MAX_GRACE = "max_grace_leases";
    private static final String HOLD_DOWN_RATIO = "hold_down_ratio";
    private static final String HOLD_DOWN_HALF_LIFE = "hold_down_half_life_leases";

    /** Recalled tasks need time to save a checkpoint. */
    private static final double MIN_GRACE_LEASES = 0.1;

    /** A recall must end while the job that needs the resources is still waiting. */
    private static final double MAX_GRACE_LEASES = 20;

    private static final double MAX_HOLD_DOWN_RATIO = 10;
    private static final double MIN_HALF_LIFE_LEASES = 1;
    private static final double MAX_HALF_LIFE_LEASES = 1000;

    /** The rate of starts is measured over a quarter of this time, so it must not be too short. */
    private static final double MIN_MAX_WAIT_SECONDS = 20;

    private static final double MAX_MAX_WAIT_SECONDS = 7 * 86_400.0;

    /** The leader writes all placement rounds and may lend half of its share to its peers. */
    private static final double MIN_LEADER_SHARE = 0.4;

    /** The other controllers need the rest to accept jobs. */
    private static final double MAX_LEADER_SHARE = 0.9;

    /** Users poll a job for some seconds until they see its final phase. */
    private static final double MIN_RETENTION_SECONDS = 30;

    private static final double MAX_RETENTION_SECONDS = 30 * 86_400.0;

    private static final Map<String, Set<String>> FIELDS_BY_BLOCK =
            Map.of(
                    RENTALS, Set.of(IDLE_BOOTS, BOOT_PATIENCE, RESERVE, UNGUARANTEED_PRICE_RATIO),
                    USERS, Set.of(PENDING_SUBMISSIONS),
                    HISTORY, Set.of(RETENTION),
                    ADMISSION, Set.of(MAX_WAIT, LEADER_SHARE),
                    BORROWING, Set.of(MAX_GRACE, HOLD_DOWN_RATIO, HOLD_DOWN_HALF_LIFE));

    private final Path file;
    private final Map<String, Object> blocks;

    private OperatorSettingsFile(Path file, Map<String, Object> blocks) {
        this.file = file;
        this.blocks = blocks;
    }

    /**
     * Reads and checks the settings.
     *
     * @throws SettingsException if the file cannot be read, or a block or field is unknown or
     *     invalid
     */
    static OperatorSettings read(Path file) throws SettingsException {
        OperatorSettingsFile settings =
                new OperatorSettingsFile(file, HclFile.read(file, "--operator"));
        settings.checkNames();
        return settings.values();
    }

    private void checkNames() throws SettingsException {
        for (Map.Entry<String, Object> block : blocks.entrySet()) {
            String name = block.getKey();
            Set<String> knownFields = FIELDS_BY_BLOCK.get(name);
            if (knownFields == null) {
                throw unknown(name, FIELDS_BY_BLOCK.keySet());
            }
            if (!(block.getValue() instanceof Map<?, ?> fields)) {
                throw new SettingsException(file, name, "must be a block: " + name + " { ... }");
            }
            for (Object field : fields.keySet()) {
                if (!knownFields.contains(field.toString())) {
                    throw unknown(name + "." + field, knownFields);
                }
            }
        }
    }

    private SettingsException unknown(String name, Set<String> known) {
        String sorted = String.join(", ", new TreeSet<>(known));
        return new SettingsException(file, name, "is not known; use one of " + sorted);
    }

    private OperatorSettings values() throws SettingsException {
        OperatorSettings defaults = OperatorSettings.DEFAULTS;
        double idleBoots = number(RENTALS, IDLE_BOOTS, defaults.idleTimeoutFactor(), 0.1, 100);
        double bootPatience =
                number(RENTALS, BOOT_PATIENCE, defaults.bootTimeoutFactor(), 1.5, 100);
        double reserve = number(RENTALS, RESERVE, defaults.headroomFactor(), 0, 10);
        double unguaranteedPriceRatio =
                number(
                        RENTALS,
                        UNGUARANTEED_PRICE_RATIO,
                        defaults.unguaranteedPriceRatio(),
                        0,
                        1000);
        double pendingSubmissions =
                number(USERS, PENDING_SUBMISSIONS, defaults.pendingSubmissions(), 1, 1_000_000);
        double leaderShare =
                number(
                        ADMISSION,
                        LEADER_SHARE,
                        defaults.leaderShare(),
                        MIN_LEADER_SHARE,
                        MAX_LEADER_SHARE);
        return new OperatorSettings(
                idleBoots,
                bootPatience,
                reserve,
                unguaranteedPriceRatio,
                (int) pendingSubmissions,
                historyRetention(),
                maxWait(),
                leaderShare,
                borrowing());
    }

    /** The presence of the block enables recalls, even if it is empty. */
    private Optional<OperatorSettings.Borrowing> borrowing() throws SettingsException {
        if (!blocks.containsKey(BORROWING)) {
            return Optional.empty();
        }
        OperatorSettings.Borrowing defaults = OperatorSettings.Borrowing.DEFAULTS;
        double maxGrace =
                number(
                        BORROWING,
                        MAX_GRACE,
                        defaults.maxGraceLeases(),
                        MIN_GRACE_LEASES,
                        MAX_GRACE_LEASES);
        double ratio =
                number(
                        BORROWING,
                        HOLD_DOWN_RATIO,
                        defaults.holdDownRatio(),
                        0,
                        MAX_HOLD_DOWN_RATIO);
        double halfLife =
                number(
                        BORROWING,
                        HOLD_DOWN_HALF_LIFE,
                        defaults.holdDownHalfLifeLeases(),
                        MIN_HALF_LIFE_LEASES,
                        MAX_HALF_LIFE_LEASES);
        return Optional.of(new OperatorSettings.Borrowing(maxGrace, ratio, halfLife));
    }

    /** Returns an empty value if the field is missing: the wait is then not bounded. */
    private OptionalDouble maxWait() throws SettingsException {
        double maxWait =
                number(ADMISSION, MAX_WAIT, Double.NaN, MIN_MAX_WAIT_SECONDS, MAX_MAX_WAIT_SECONDS);
        return Double.isNaN(maxWait) ? OptionalDouble.empty() : OptionalDouble.of(maxWait);
    }

    /** The presence of the block enables archiving, so the retention is required in it. */
    private OptionalDouble historyRetention() throws SettingsException {
        if (!blocks.containsKey(HISTORY)) {
            return OptionalDouble.empty();
        }
        double retention =
                number(
                        HISTORY,
                        RETENTION,
                        Double.NaN,
                        MIN_RETENTION_SECONDS,
                        MAX_RETENTION_SECONDS);
        if (Double.isNaN(retention)) {
            throw new SettingsException(
                    file,
                    HISTORY + "." + RETENTION,
                    "is missing; say for how many seconds records of ended jobs stay in memory,"
                            + " such as 3600, or remove the block");
        }
        return OptionalDouble.of(retention);
    }

    private double number(
            String block, String field, double defaultValue, double minimum, double maximum)
            throws SettingsException {
        Object value = blocks.get(block) instanceof Map<?, ?> fields ? fields.get(field) : null;
        if (value == null) {
            return defaultValue;
        }
        double number = value instanceof Number numeric ? numeric.doubleValue() : Double.NaN;
        boolean inRange = number >= minimum && number <= maximum;
        if (!inRange) {
            throw new SettingsException(
                    file,
                    block + "." + field,
                    "must be a number from " + minimum + " to " + maximum + ", but is " + value);
        }
        return number;
    }
}
