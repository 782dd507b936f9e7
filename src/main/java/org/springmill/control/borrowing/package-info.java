/**
 * Loans between teams and their recall: the entitlement of a team, which borrower's tasks are
 * preempted for work with a better claim, the committed record of each such decision, and when free
 * resources are lent again. docs/borrowing.md has the design and its safety claims.
 *
 * <p>Pure decisions and stored records. It uses {@code storage} and knows machines by name and
 * tasks by their resources. Called by {@code recall}, which says what runs and carries out the
 * decisions.
 */
package org.springmill.control.borrowing;
