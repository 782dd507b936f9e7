/**
 * Admission control: this controller's share of the key-value store's rate limits, and which
 * submissions are accepted. docs/admission.md has the design and its claims.
 *
 * <p>Owns the rate shares, the account of active jobs and of the memory that they need, the
 * estimate of how long work waits for its start, and the decision on a submission. It knows jobs by
 * their submissions only. Called by the user API, by the exchange between peers, and by the leader,
 * which says what waits and what starts.
 */
package org.springmill.control.admission;
