/**
 * The exchange between controllers: status, confirmations of outages by a quorum, cancellations,
 * progress of jobs, and which controllers may renew a worker's lease as a result.
 *
 * <p>Owns what this controller knows about its peers. Uses {@code jobs} for cancellations, {@code
 * admission} for shares of the key-value store's rate and for congested queues, and {@code cluster}
 * for the progress of jobs. Leadership, reconciliation, autoscaling and the controller ask it for
 * evidence.
 */
package org.springmill.control.membership;
