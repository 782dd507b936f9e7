package org.springmill.transport;

/**
 * Sends short records between controllers. Delivery is not guaranteed: a record may be lost, late,
 * or reach a restarted peer.
 */
public interface PeerLink {

    /**
     * Sends a record to a node, without blocking. Records to unknown nodes are dropped.
     *
     * @param node name of the receiver
     * @param record at most 32 KiB
     */
    void send(String node, byte[] record);

    /**
     * Sets the listener that receives all records from now on.
     *
     * @param listener replaces the previous one
     */
    void setListener(Listener listener);

    /** Receives records, on the event loop. */
    interface Listener {
        /**
         * Called for each received record; its content names the sender.
         *
         * @param record as it was sent
         */
        void onRecord(byte[] record);

        /**
         * Called when a node refuses a connection, which suggests, but does not prove, that its
         * process has ended.
         *
         * @param node name of the node
         */
        void onConnectionRefused(String node);
    }
}
