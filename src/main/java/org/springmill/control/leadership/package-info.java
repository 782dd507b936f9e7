/**
 * Election of the leader: the leader record, its lease in the key-value store, and the renewal of
 * workers' leases by controllers that do not lead.
 *
 * <p>Owns this controller's part in the election and the leader record. Uses {@code membership} for
 * what the other controllers confirm and {@code storage} for the key-value store. {@code
 * scheduling} and {@code controller} ask it whether this controller may act; every commit of a
 * leader carries the condition that it provides. docs/design.md, sections 5 and 7, has the
 * argument.
 */
package org.springmill.control.leadership;
