/**
 * The metrics of a controller and their text form for {@code GET /metrics}.
 *
 * <p>Owns the registry. Metric names are an interface for operators and never change. Every other
 * package of the controller may record here; nothing is read back to decide anything.
 */
package org.springmill.control.metrics;
