package org.springmill.transport;

/**
 * Sends short records between controllers. Delivery is not guaranteed: a record may be lost, late,
 * or reach a restarted peer.
 */
public interface PeerLink {

    /** Sends a record to a node, without blocking. Records to unknown nodes are dropped. */
    void send(String node, byte[] record);

    /** Sets the listener that receives all records from now on. */
    void onRecord(Listener listener);

    /** Receives records, on the event loop. */
    interface Listener {
        /** A record has arrived; its content names the sender. */
        void received(byte[] record);

        /** A node refused a connection: a hint that its process has ended, but no proof. */
        void refused(String node);
    }
}
