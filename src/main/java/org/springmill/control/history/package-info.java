/**
 * Bounded job history: records of jobs that ended some time ago are archived. They are removed from
 * the prefix that every controller reads and keeps in memory; queries of their final states are
 * then served by reads of single keys. docs/history.md has the design and its safety claims.
 *
 * <p>Contains the lookup of archived jobs, the archiving and the check that every controller
 * supports it. It uses {@code storage} and knows jobs only by their records. Called by the job
 * directory and by the leader, which knows what still runs.
 */
package org.springmill.control.history;
