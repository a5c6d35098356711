package io.sapphirestack.standins.demo;

/**
 * Result of one step, printed as a row of the table of the demonstration.
 *
 * @param action what the step did
 * @param requirement what the system had to guarantee
 * @param passed whether the requirement was met
 * @param measurement measured values, or the failure
 */
public record StepResult(String action, String requirement, boolean passed, String measurement) {}
