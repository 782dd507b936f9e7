package org.springmill.control.cluster;

import org.springmill.protocol.CloudMessages.MachineType;

/**
 * What the cloud rents as one kind, with capacity of its own: machines of one type in one zone,
 * spot or ordinary.
 */
public record MachineKind(MachineType type, String zone, boolean spot) {

    /** The price of one machine by the hour. */
    public double price() {
        return type.price(spot);
    }

    /**
     * Names the kind in logs and as a key. Unlike the record itself it stays the same when the
     * type's price moves.
     */
    public String label() {
        return type.name() + '/' + zone + (spot ? "/spot" : "");
    }
}
