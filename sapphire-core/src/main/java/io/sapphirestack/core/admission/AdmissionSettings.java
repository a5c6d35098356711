package io.sapphirestack.core.admission;

/**
 * Settings of the admission of plain requests and of the urgency of streams.
 *
 * @param refuseLate whether requests that would be late are refused while the service is full
 * @param ageFromDeadline whether a deadline of the caller that is shorter than others of its route
 *     means that the caller has already waited for the difference
 * @param maxReportAgeMs age of a load report after which no request is refused because of it, in
 *     milliseconds
 * @param streamUrgency whether engines are told the urgency of streams, which makes them preempt
 *     streams of lower priority
 */
public record AdmissionSettings(
        boolean refuseLate, boolean ageFromDeadline, int maxReportAgeMs, boolean streamUrgency) {

    /** Largest age of a report that may be set, in milliseconds. */
    public static final int MAX_REPORT_AGE_LIMIT_MS = 1_000;

    /** Settings if none are configured. */
    public static final AdmissionSettings DEFAULT =
            new AdmissionSettings(true, true, MAX_REPORT_AGE_LIMIT_MS, false);

    /** Requires an age from 1 to {@link #MAX_REPORT_AGE_LIMIT_MS}. */
    public AdmissionSettings {
        if (maxReportAgeMs < 1 || maxReportAgeMs > MAX_REPORT_AGE_LIMIT_MS) {
            throw new IllegalArgumentException(
                    "the age of a report must be 1 to "
                            + MAX_REPORT_AGE_LIMIT_MS
                            + " ms, not "
                            + maxReportAgeMs);
        }
    }
}
