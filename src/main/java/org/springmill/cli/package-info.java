/**
 * The command line: options, log level, exit codes, and the wiring of a controller to its clocks
 * and sockets.
 *
 * <p>The top layer: uses protocol, transport, the controller and the emulator; nothing depends on
 * it.
 */
package org.springmill.cli;
