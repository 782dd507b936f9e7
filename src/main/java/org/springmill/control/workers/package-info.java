/**
 * The leader's dialogue with workers: heartbeats and their responses, direct commands, and the
 * reconciliation of task attempts with what workers report.
 *
 * <p>Owns the probes under way. It is the only package that declares a task attempt gone, by the
 * proofs in docs/design.md, section 6.
 */
package org.springmill.control.workers;
