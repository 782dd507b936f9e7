/**
 * Scaling the fleet out and in: expected arrivals, packing of demand into machines to rent, overdue
 * boots, draining and deletion of machines, and the cloud's list of machines.
 *
 * <p>Owns the rental requests and deletions under way. It is the only package that calls the cloud.
 */
package org.springmill.control.autoscaling;
