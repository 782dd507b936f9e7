package org.springmill.control.admission;

/**
 * A submission that cannot be taken now.
 *
 * @param retryAfterSeconds when its user should come back
 */
public record AdmissionRefusal(AdmissionReason reason, int retryAfterSeconds) {}
