/**
 * Makes sure that the tasks of a cancelled job end in time, whichever controllers fail: a user is
 * told only once controllers other than a possibly isolated leader know the machines of these
 * tasks, and these delete the machines if no leader does.
 *
 * <p>Owns what this controller knows of the machines of cancelled tasks. Uses {@code membership}
 * for messages between controllers, {@code storage} for the claims in the round log, and {@code
 * jobs} for the interface through which users' requests wait.
 */
package org.springmill.control.cancellation;
