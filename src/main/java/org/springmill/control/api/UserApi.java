package org.springmill.control.api;

import java.util.function.Consumer;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.UserMessages;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpHandler.Call;

/** The user API, which is the same at every controller: submissions, queries and cancellations. */
public final class UserApi {
    private static final byte[] EMPTY = new byte[0];

    private final SubmissionHandler submissions;
    private final JobQueryHandler queries;
    private final CancellationHandler cancellations;

    /**
     * Creates the API of a controller.
     *
     * @param broadcast called with each cancellation that this controller commits, before the
     *     response to the user who requested it
     * @param submissions accepts jobs
     */
    public UserApi(
            JobDirectory directory,
            KeyValueStoreClient store,
            EventLoop loop,
            Timeouts timeouts,
            JobStatusResponses responses,
            Consumer<Cancellation> broadcast,
            SubmissionHandler submissions) {
        this.submissions = submissions;
        queries = new JobQueryHandler(new JobStatusReader(directory), responses);
        cancellations =
                new CancellationHandler(directory, store, loop, timeouts, responses, broadcast);
    }

    /** Handles a request whose path is the submissions path or below it. */
    public void handle(Call call) {
        if (call.path().equals(UserMessages.SUBMISSIONS_PATH)) {
            if (requireMethod(call, "POST")) {
                submissions.submit(call);
            }
            return;
        }
        handleJob(call, call.path().substring(UserMessages.SUBMISSIONS_PATH.length() + 1));
    }

    /**
     * Handles a request for one job.
     *
     * @param subPath the part of the path after the submissions path
     */
    private void handleJob(Call call, String subPath) {
        if (subPath.endsWith(UserMessages.CANCELLATION_SUFFIX)) {
            if (requireMethod(call, "POST")) {
                String id =
                        subPath.substring(
                                0, subPath.length() - UserMessages.CANCELLATION_SUFFIX.length());
                cancellations.cancel(call, id);
            }
        } else if (subPath.isEmpty() || subPath.contains("/")) {
            call.reply(404, EMPTY, 0);
        } else if (requireMethod(call, "GET")) {
            queries.query(call, subPath);
        }
    }

    /** Whether a call has this method; if not, responds with status 405. */
    private static boolean requireMethod(Call call, String method) {
        if (!call.method().equals(method)) {
            call.reply(405, EMPTY, 0);
            return false;
        }
        return true;
    }
}
