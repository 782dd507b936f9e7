/**
 * Admission control: this controller's share of the key-value store's rate limits, and which
 * submissions are accepted. docs/admission.md has the design and its claims.
 *
 * <p>Owns the rate shares, the counts of active jobs and their memory, the estimate of how long
 * tasks wait for their start, and the decision on a submission. It uses only the submissions of
 * jobs. Called by the user API, by the exchange between peers, and by the leader, which reports
 * waiting and started tasks.
 */
package org.springmill.control.admission;
