/**
 * The cluster as one leader sees it: jobs with their task attempts, machines with their workers'
 * epochs and fencing tokens, the usage of teams, and the order of jobs.
 *
 * <p>Owns the state that is recovered at the beginning of a leadership term and dropped at its end.
 * It decides nothing: {@code scheduling}, {@code workers}, {@code autoscaling} and {@code recall}
 * read and change it.
 */
package org.springmill.control.cluster;
