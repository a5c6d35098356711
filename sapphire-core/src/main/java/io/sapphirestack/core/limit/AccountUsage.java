package io.sapphirestack.core.limit;

/**
 * Usage by one client account at one or more instances.
 *
 * @param concurrent generations that were admitted and have not ended
 * @param admittedPerS recent rate of admitted requests, per second
 * @param demandPerS recent rate of all requests, admitted or refused, per second
 */
public record AccountUsage(int concurrent, double admittedPerS, double demandPerS) {
    /** Usage of an account without any requests. */
    public static final AccountUsage NONE = new AccountUsage(0, 0, 0);

    /**
     * Adds the usage at other instances.
     *
     * @param other usage to add
     * @return the sum
     */
    public AccountUsage plus(AccountUsage other) {
        return new AccountUsage(
                concurrent + other.concurrent,
                admittedPerS + other.admittedPerS,
                demandPerS + other.demandPerS);
    }
}
