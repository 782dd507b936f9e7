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

/** The user API, which is the same at every controller: submissions, queries and withdrawals. */
public final class UserApi {
    private static final byte[] EMPTY = new byte[0];

    private final SubmissionHandler submissions;
    private final JobQueryHandler queries;
    private final CancellationHandler cancellations;

    /**
     * @param announce told of each cancellation committed here, before its user is
     * @param submissions accepts jobs
     */
    public UserApi(
            JobDirectory directory,
            KeyValueStoreClient store,
            EventLoop loop,
            Timeouts timeouts,
            JobStatusResponses responses,
            Consumer<Cancellation> announce,
            SubmissionHandler submissions) {
        this.submissions = submissions;
        queries = new JobQueryHandler(directory, responses);
        cancellations =
                new CancellationHandler(directory, store, loop, timeouts, responses, announce);
    }

    /** Answers a request whose path is that of the submissions or below it. */
    public void handle(Call call) {
        if (call.path().equals(UserMessages.SUBMISSIONS)) {
            if (allowed(call, "POST")) {
                submissions.submit(call);
            }
            return;
        }
        handleJob(call, call.path().substring(UserMessages.SUBMISSIONS.length() + 1));
    }

    /**
     * @param name what follows the path of the submissions
     */
    private void handleJob(Call call, String name) {
        if (name.endsWith(UserMessages.WITHDRAW)) {
            if (allowed(call, "POST")) {
                String id = name.substring(0, name.length() - UserMessages.WITHDRAW.length());
                cancellations.withdraw(call, id);
            }
        } else if (name.isEmpty() || name.contains("/")) {
            call.reply(404, EMPTY, 0);
        } else if (allowed(call, "GET")) {
            queries.query(call, name);
        }
    }

    private static boolean allowed(Call call, String method) {
        if (!call.method().equals(method)) {
            call.reply(405, EMPTY, 0);
            return false;
        }
        return true;
    }
}
