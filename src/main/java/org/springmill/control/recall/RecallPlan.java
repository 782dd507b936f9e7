package org.springmill.control.recall;

import java.util.List;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;

/**
 * Planned capacity for one task.
 *
 * @param victims what is stopped on the machine for it; empty if other plans' victims suffice
 * @param needsNoVictims whether nothing at all has to be stopped, since enough is ending already
 */
record RecallPlan(
        Job beneficiary, Machine machine, List<TaskAttempt> victims, boolean needsNoVictims) {}
