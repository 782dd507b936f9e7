/**
 * An emulated deployment on one machine: real controller processes with emulated workers, cloud,
 * key-value store and users, which speak the published protocol. It measures the resources that
 * controllers need at a given size and during failures, and checks that the rules of the protocol
 * hold as seen from outside the controllers.
 *
 * <p>The emulation runs on its own event loops and reaches the controllers only over loopback.
 */
package org.springmill.emulator;
