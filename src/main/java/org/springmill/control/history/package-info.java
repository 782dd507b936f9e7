/**
 * Bounded job history: records of jobs that ended some time ago are archived. They leave the prefix
 * that every controller reads and keeps in memory, and queries of their final states are served by
 * reads of single keys from then on. docs/history.md has the design and its safety claims.
 *
 * <p>Owns the lookup of archived jobs, the archiving and the check that every controller takes
 * part. It uses {@code storage} and knows jobs only by their records. Called by the job directory
 * and by the leader, which says what still runs.
 */
package org.springmill.control.history;
