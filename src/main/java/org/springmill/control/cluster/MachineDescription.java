package org.springmill.control.cluster;

import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Submission;

/**
 * The description of a machine, as given by the cloud or its worker.
 *
 * @param address of its worker; empty while unknown
 * @param type null while unknown
 * @param zone empty while unknown
 */
record MachineDescription(String address, MachineType type, String zone, boolean spot) {
    /** Keeps a division by the fetch rate finite for a type that states none. */
    private static final double MIN_FETCH_GB_PER_SECOND = 1e-3;

    private static final double UNKNOWN_TYPE_FETCH_GB_PER_SECOND = 1;

    /** The description of a machine that neither the cloud nor its worker has described yet. */
    static final MachineDescription UNKNOWN = new MachineDescription("", null, "", false);

    /** Whether a job may run on a machine of this type and zone. */
    boolean isAllowedFor(Submission spec) {
        return type != null
                && type.fits(spec)
                && (!spot || spec.spot())
                && (spec.zone() == null || spec.zone().equals(zone));
    }

    /** Size of the image cache in gigabytes; 0 while the type is unknown. */
    double cacheGb() {
        return type == null ? 0 : type.cacheGb();
    }

    /** Rate at which images are fetched, in gigabytes per second; never 0. */
    double fetchGbPerSecond() {
        return type == null
                ? UNKNOWN_TYPE_FETCH_GB_PER_SECOND
                : Math.max(MIN_FETCH_GB_PER_SECOND, type.fetchGbPerSecond());
    }

    /** Type, zone and "spot" for log lines. */
    @Override
    public String toString() {
        return (type == null ? "?" : type.name()) + ' ' + zone + (spot ? " spot" : "");
    }
}
