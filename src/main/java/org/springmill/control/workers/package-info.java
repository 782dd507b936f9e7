/**
 * The leader's communication with workers: heartbeats and their responses, the dispatch of
 * commands, and the reconciliation of task attempts with what workers report.
 *
 * <p>Owns the number of probes in flight and the times from which lease expiry is derived; attempts
 * and machines belong to {@code cluster}. It applies the proofs of docs/design.md, section 6, that
 * an attempt no longer runs: claims 6.1 and 6.2 in {@link
 * org.springmill.control.workers.Reconciliation}, claim 6.3 with {@code WorkerLeases}; claim 6.4, a
 * deleted machine, is applied by {@code autoscaling}.
 *
 * <p>Uses {@code cluster}, {@code jobs}, {@code membership}, {@code metrics} and {@code timing};
 * {@code controller} constructs and calls it.
 */
package org.springmill.control.workers;
