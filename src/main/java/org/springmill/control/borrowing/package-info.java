/**
 * Loans between teams and their recall: what a team is entitled to, which borrower's tasks are
 * stopped for work with a better right, the committed record of each such decision, and when free
 * resources are lent again. docs/borrowing.md has the design and its safety claims.
 *
 * <p>Pure decisions and stored records. It knows machines by name and tasks by what they take; the
 * layers above tells it what runs, and carries its decisions out.
 */
package org.springmill.control.borrowing;
