/**
 * Every controller's copy of the job records: which jobs exist, how they ended, which job depends
 * on which, and which are cancelled.
 *
 * <p>Owns the in-memory copy of {@code job/<id>}, fed by a watch of the key-value store and by what
 * peers tell. Uses {@code storage} and {@code historyArchiver}. The user API, the peers and the
 * leader read it; it knows nothing of machines.
 */
package org.springmill.control.jobs;
