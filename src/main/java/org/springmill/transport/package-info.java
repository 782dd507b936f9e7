/**
 * Event loop, HTTP servers and clients, and the link between controllers, behind small interfaces.
 * Owns the only I/O thread and all sockets of a process, and bounds their number.
 *
 * <p>Uses Undertow and XNIO, and no other package; does not interpret the messages. Controllers and
 * the emulator send and receive through it.
 */
package org.springmill.transport;
