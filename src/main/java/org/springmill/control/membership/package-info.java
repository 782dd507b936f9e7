/**
 * The exchange between controllers: status, confirmations of outages by a quorum, cancellations,
 * progress of jobs, and what follows for who may renew a worker's lease.
 *
 * <p>Owns what this controller knows of its peers. Uses {@code jobs} for cancellations. Leadership,
 * reconciliation and autoscaling ask it for evidence.
 */
package org.springmill.control.membership;
