/**
 * Placement of waiting tasks on machines: order, machine scores, reservations, immediate
 * preemption, and the rounds that commit claims before anything is started.
 *
 * <p>Owns the round under way and the reservations. Nothing is sent to a worker from here.
 */
package org.springmill.control.scheduling;
