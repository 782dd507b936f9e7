package org.springmill.control.recall;

import java.util.List;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;

/**
 * Planned capacity for one task.
 *
 * @param victims tasks that are stopped on the machine for it; empty if the victims of other plans
 *     suffice
 * @param needsNoVictims whether no task has to be stopped, since enough capacity is free or being
 *     freed already
 */
record RecallPlan(
        Job beneficiary, Machine machine, List<TaskAttempt> victims, boolean needsNoVictims) {}
