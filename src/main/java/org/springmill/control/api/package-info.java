/**
 * The API for users: submissions, status queries and cancellations, at every controller.
 *
 * <p>Owns the requests that wait for an answer. Uses {@code jobs}, {@code admission} and {@code
 * storage}; only the wiring in {@code controller} calls it.
 */
package org.springmill.control.api;
