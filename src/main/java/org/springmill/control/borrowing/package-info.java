/**
 * Borrowing of capacity between teams: the entitlement of a team, the choice of tasks that a recall
 * preempts, the stored record of each recall, and the time after which released capacity may be
 * borrowed again. See docs/borrowing.md for the design and its safety claims.
 *
 * <p>Pure decisions and stored records. It uses {@code storage} and knows machines by name and
 * tasks by their resources. Called by {@code recall}, which provides the running tasks and carries
 * out the decisions.
 */
package org.springmill.control.borrowing;
