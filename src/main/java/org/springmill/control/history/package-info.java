/**
 * Bounded job history: records of jobs that ended some time ago leave the prefix that every
 * controller reads and keeps in memory, and their final states are answered from then on by reads
 * of single keys. docs/history.md has the design and its safety claims.
 *
 * <p>Owns the lookups of moved jobs, the moves themselves and the check that every controller takes
 * part. It knows jobs only by their records; what runs is told to it by the layers above.
 */
package org.springmill.control.history;
