package org.springmill.control.admission;

import java.util.List;
import org.springmill.protocol.JobKind;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;

/** Submissions for the tests of this package. */
final class AdmissionFixture {
    private static int lastNumber;

    private AdmissionFixture() {}

    /** A job array whose tasks need one CPU each, with a unique id. */
    static Submission job(String team, Priority priority, int tasks, double gpus) {
        return new Submission(
                "run-" + ++lastNumber,
                "sweep",
                team,
                JobKind.ARRAY,
                priority,
                tasks,
                1,
                gpus,
                1,
                "img",
                0.1,
                null,
                null,
                false,
                false,
                false,
                10,
                0,
                0,
                null,
                List.of());
    }
}
