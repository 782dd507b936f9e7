/**
 * An emulated deployment on one machine: emulated workers, cloud, key-value store and users, by the
 * published protocol, around real controller processes. It measures what controllers need at a
 * given size and in failures, and checks from outside that the protocol's rules hold.
 *
 * <p>Everything here runs on event loops of its own and reaches controllers over loopback only.
 */
package org.springmill.emulator;
