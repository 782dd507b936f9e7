/**
 * The logic of a controller: leadership, placement, reconciliation of commands with reports,
 * rentals, submissions and their users' questions.
 *
 * <p>All state is owned by one event loop and needs no locks. Time and the network come in through
 * the interfaces of {@link org.springmill.transport}, so that tests run the same code under a
 * virtual clock.
 */
package org.springmill.control.coordination;
