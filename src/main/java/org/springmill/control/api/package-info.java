/**
 * The API for users: submissions, status queries and cancellations, at every controller.
 *
 * <p>Owns the requests that wait for a response. Uses {@code jobs} for the records of jobs, {@code
 * admission} to decide whether a job may be accepted, {@code cluster} for the machine types and
 * {@code storage} for the commits; only the wiring in {@code controller} calls it.
 */
package org.springmill.control.api;
