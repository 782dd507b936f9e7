/**
 * Scheduling: the order of waiting jobs, placement of their tasks on machines by score, gang
 * scheduling, reservations against starvation, immediate preemption, and the rounds that commit
 * claims and ends before anything is sent.
 *
 * <p>Owns the current round, the reservations and which jobs the last round skipped. Uses the
 * cluster state (jobs, machines, attempts, quotas) and the round log. Nothing is sent to a worker
 * from here. Called by the leader, which requests rounds; the autoscaler reads the waiting jobs and
 * reservations; recalls implement {@link org.springmill.control.scheduling.PreemptionPolicy} and
 * {@link org.springmill.control.scheduling.CapacityFilter}.
 */
package org.springmill.control.scheduling;
