/**
 * The API for users: submissions, status queries and cancellations, at every controller.
 *
 * <p>Owns the requests that wait for an answer. Uses {@code jobs} for what is known of jobs, {@code
 * admission} for whether one may be accepted, {@code cluster} for the machine types and {@code
 * storage} for the commits; only the wiring in {@code controller} calls it.
 */
package org.springmill.control.api;
