/**
 * The other side of each interface, for stand-ins of workers, cloud, key-value store and users:
 * reads what controllers send and writes what they read. Names on the wire stand here and in the
 * protocol package only.
 */
package org.springmill.protocol.counterpart;
