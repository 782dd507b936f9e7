/**
 * Bounded live work: how much this controller may take of the key-value store, and which
 * submissions are accepted. docs/admission.md has the design and its claims.
 *
 * <p>Owns the shares of the key-value store, the account of live jobs and of the memory that they
 * need, the estimate of how long work waits for its start, and the decision on a submission. It
 * knows jobs by their submissions only; what waits and what starts is told to it by the layers
 * above.
 */
package org.springmill.control.admission;
