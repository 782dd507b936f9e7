/**
 * The timeouts that a controller derives from the settings, and the detection of pauses of the
 * whole process.
 *
 * <p>Owns no state but the time of the last turn of the event loop. Uses {@code protocol} and
 * {@code transport}; every other package of the controller may use it.
 */
package org.springmill.control.timing;
