package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.Map;

/**
 * Which machine has which address. The cloud may give a new machine the address of one that is
 * gone, and a command names no machine: the worker of the new one would obey a late copy of a
 * command to the earlier one. So its fencing tokens begin above those of the earlier machine.
 */
final class MachineAddresses {
    private static final String NONE = "";

    private final Map<String, Machine> owners = new HashMap<>();

    /** The highest token of all machines that were removed. */
    private long highestRemovedToken;

    /** Makes the tokens of a machine that has just become known higher than all removed ones. */
    void added(Machine machine) {
        machine.workerEpoch().raiseFencingTokenAbove(highestRemovedToken);
    }

    /** Forgets a machine that is gone. */
    void removed(Machine machine) {
        highestRemovedToken = Math.max(highestRemovedToken, machine.fencingToken());
        owners.remove(machine.address(), machine);
    }

    /**
     * Assigns an address to the machine that reports it, or that the cloud lists with it. An
     * earlier machine with that address is gone, and gets no more commands.
     *
     * @return the address; empty if a later machine has it
     */
    String assign(String address, Machine machine) {
        Machine owner = owners.get(address);
        if (address.isEmpty() || owner == machine) {
            return address;
        }
        if (owner != null && owner.name().compareTo(machine.name()) > 0) {
            return NONE;
        }
        if (owner != null) {
            machine.workerEpoch().raiseFencingTokenAbove(owner.fencingToken());
            owner.clearAddress();
        }
        owners.put(address, machine);
        return address;
    }
}
