package org.springmill.transport;

/**
 * Short records between controllers. Nothing is promised: a record may be lost, late, or go to a
 * restarted peer.
 */
public interface PeerLink {

    void send(String node, byte[] record);

    void onRecord(Listener listener);

    /** Takes records as they come. */
    interface Listener {
        void received(byte[] record);

        /** A node refused a connection: a hint that its process has ended, but no proof. */
        void refused(String node);
    }
}
