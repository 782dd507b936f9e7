/**
 * Election of the leader: the leader's record, its lease in the key-value store, and the renewal of
 * workers' leases by controllers that do not lead.
 *
 * <p>Owns this controller's place in the election. Every commit of a leader carries the condition
 * that it provides. docs/design.md, sections 5 and 7, has the argument.
 */
package org.springmill.control.leadership;
