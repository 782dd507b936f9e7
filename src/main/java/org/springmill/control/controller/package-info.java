/**
 * One controller and the terms that it leads: the wiring of all other packages, the recovery of
 * cluster state after failover, the periodic tick, and the completion of jobs.
 *
 * <p>{@link org.springmill.control.controller.Controller} lives as long as the process. For each
 * term that it wins, {@code LeaderFactory} creates a {@code Leader}, which is discarded when the
 * term ends. The package owns the state machine of a term ({@code TermLifecycle}) and the writes of
 * completed jobs, of derived cancellations and of image locations; the cluster state itself belongs
 * to {@code cluster}.
 *
 * <p>The top layer of the controller: it uses every package of {@code control}, and only the
 * command line uses it.
 */
package org.springmill.control.controller;
