package org.springmill.protocol.counterpart;

import java.util.Locale;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.protocol.WireFields;

/** A user's side of {@link UserMessages}: decodes responses. */
public final class UserSideMessages {
    private UserSideMessages() {}

    /**
     * Decodes the phase of a job.
     *
     * @throws MalformedMessageException if the body is not a JSON object or names no known phase
     */
    public static JobPhase decodePhase(byte[] body) throws MalformedMessageException {
        String phase = Json.object(body).path(WireFields.PHASE).asText();
        try {
            return JobPhase.valueOf(phase.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("unknown job phase \"" + phase + "\"");
        }
    }

    /** Decodes the reason of a refusal; empty if there is none. */
    public static String decodeError(byte[] body) {
        try {
            return Json.object(body).path(WireFields.ERROR).asText();
        } catch (MalformedMessageException e) {
            return "";
        }
    }
}
