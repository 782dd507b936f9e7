package org.springmill.protocol.counterpart;

import java.util.Locale;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.UserMessages.JobPhase;

/** Answers to users, as they read them. */
public final class UserSideMessages {
    private UserSideMessages() {}

    /** The phase of a job that an answer tells. */
    public static JobPhase phase(byte[] body) throws MalformedMessageException {
        String phase = Json.object(body).path("phase").asText();
        try {
            return JobPhase.valueOf(phase.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("no phase");
        }
    }

    /** The reason that a refusal gives; empty if it gives none. */
    public static String reason(byte[] body) {
        try {
            return Json.object(body).path("error").asText();
        } catch (MalformedMessageException e) {
            return "";
        }
    }
}
