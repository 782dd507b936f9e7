/**
 * Scaling the fleet out and in: estimated arrival rates, bin packing of demand into machines to
 * request, overdue boots, draining and deletion of machines, and the cloud's list of machines.
 *
 * <p>Owns all requests to the cloud, for machines and for their deletion; no other package calls
 * the cloud. It reads the fleet and its jobs ({@code cluster}), waiting jobs and reservations
 * ({@code scheduling}) and the responses of peers ({@code membership}). The leader ({@code
 * controller}) creates one {@link org.springmill.control.autoscaling.Autoscaler} for each term and
 * runs it on its event loop.
 */
package org.springmill.control.autoscaling;
