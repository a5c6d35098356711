package io.sapphirestack.core.limit;

/**
 * Use of the service by one client account at one or more instances.
 *
 * @param concurrent generations that were admitted and have not ended
 * @param admittedPerS recently admitted requests per second
 * @param demandPerS recently attempted requests per second, admitted or not
 */
public record AccountUsage(int concurrent, double admittedPerS, double demandPerS) {
    /** No use. */
    public static final AccountUsage NONE = new AccountUsage(0, 0, 0);

    /**
     * Adds the use at other instances.
     *
     * @param other use to add
     * @return the sum
     */
    public AccountUsage plus(AccountUsage other) {
        return new AccountUsage(
                concurrent + other.concurrent,
                admittedPerS + other.admittedPerS,
                demandPerS + other.demandPerS);
    }
}
