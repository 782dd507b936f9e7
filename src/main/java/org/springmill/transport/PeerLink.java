package org.springmill.transport;

/**
 * Short records between controllers. Nothing is promised: a record may be lost, late, or go to a
 * restarted peer.
 */
public interface PeerLink {

    /** Sends a record to a node, without waiting for anything. */
    void send(String node, byte[] record);

    /** Names the listener that takes all records from now on. */
    void onRecord(Listener listener);

    /** Takes records as they come. */
    interface Listener {
        /** A record came from some node, which its content names. */
        void received(byte[] record);

        /** A node refused a connection: a hint that its process has ended, but no proof. */
        void refused(String node);
    }
}
