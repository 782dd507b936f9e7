/**
 * The other side of each interface, for emulated workers, cloud, key-value store and users: decodes
 * what controllers send and encodes what they receive.
 *
 * <p>Uses the types and the field names of the protocol package. Only the emulator calls it.
 */
package org.springmill.protocol.counterpart;
