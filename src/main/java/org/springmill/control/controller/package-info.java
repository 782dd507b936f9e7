/**
 * One controller, and one term of its leadership: the wiring of all other packages, the recovery of
 * cluster state after failover, and the completion of jobs.
 *
 * <p>The top of the controller's layers; only the command line uses it.
 */
package org.springmill.control.controller;
