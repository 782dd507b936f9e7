/**
 * The cluster as one leader knows it: jobs with their task attempts, machines with their workers'
 * epochs and fencing tokens, the usage of teams, and the order of jobs.
 *
 * <p>Owns the state that is recovered at the beginning of a leadership term and dropped at its end;
 * nothing here is stored. It makes no scheduling decisions: {@code scheduling}, {@code workers},
 * {@code leadership}, {@code autoscaling} and {@code recall} read and change it, all on the event
 * loop.
 *
 * <p>Uses {@code jobs} for the records behind deadlines, {@code borrowing} for entitlements, {@code
 * storage} for the types of stored claims and image locations, and {@code timing}.
 *
 * <p>Start with {@link org.springmill.control.cluster.Fleet} and {@link
 * org.springmill.control.cluster.ClusterState}. The life cycles are the {@code State} enums of
 * {@code Job}, {@code TaskAttempt} and {@code Machine}.
 */
package org.springmill.control.cluster;
