package org.springmill.control.cluster;

import org.springmill.protocol.CloudMessages.MachineType;

/**
 * Machines of one type in one zone, spot or on demand. The cloud has separate capacity for each
 * kind.
 */
public record MachineKind(MachineType type, String zone, boolean spot) {

    /** The price of one machine per hour. */
    public double price() {
        return type.price(spot);
    }

    /**
     * Names the kind in logs and as a key. Unlike the record itself it does not change with the
     * type's price.
     */
    public String label() {
        return type.name() + '/' + zone + (spot ? "/spot" : "");
    }
}
