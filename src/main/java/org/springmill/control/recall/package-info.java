/**
 * Preemption by recalls: which borrowed capacity is taken back for whom, the reservation of the
 * capacity that is being freed, and the hold-down before it may be borrowed again.
 *
 * <p>Owns the active recalls of the leader, their reservations and the capacity in hold-down. Uses
 * the decisions and records of {@code control.borrowing}, the cluster state and the placement.
 * Called by the leader, which sets it up, and by the rounds of {@code control.scheduling}, through
 * {@link org.springmill.control.scheduling.PreemptionPolicy} and {@link
 * org.springmill.control.scheduling.CapacityFilter}. See docs/borrowing.md for the safety claims.
 */
package org.springmill.control.recall;
