/**
 * Preemption by recalls: which borrowed capacity is taken back for whom, the reservation of what is
 * being freed, and the hold-down before it is lent again.
 *
 * <p>Owns the recalls under way on the leader. Decisions and records are in {@code borrowing};
 * docs/borrowing.md has the claims.
 */
package org.springmill.control.recall;
