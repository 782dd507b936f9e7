/**
 * The command line: options, logging and the wiring of a controller to its clocks and sockets.
 *
 * <p>The top layer; nothing depends on it.
 */
package org.springmill.cli;
