package org.springmill.control.admission;

/**
 * The refusal of a submission that cannot be accepted now.
 *
 * @param retryAfterSeconds seconds after which its user should retry
 */
public record AdmissionRefusal(AdmissionReason reason, int retryAfterSeconds) {}
