/**
 * Every controller's copy of the job records: which jobs exist, how they ended, which job depends
 * on which, and which are cancelled.
 *
 * <p>Owns the in-memory copy of the records {@code job/<id>}, updated by a watch of the key-value
 * store and by the cancellations that peers send. It writes nothing to the store. Uses {@code
 * storage}, {@code history} (archived jobs), {@code admission} (refusals) and {@code timing}. The
 * user API, the peers and the leader read it. It does not depend on machines.
 *
 * <p>The entry point is {@link org.springmill.control.jobs.JobDirectory}.
 */
package org.springmill.control.jobs;
