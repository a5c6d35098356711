package io.sapphirestack.standins.demo;

/**
 * Size of a fleet.
 *
 * @param instances entry instances
 * @param voters how many of them have a disk and vote in the control log
 * @param engines engines
 * @param services plain services
 * @param tokenMs time between two tokens of an engine in milliseconds
 */
public record FleetPlan(int instances, int voters, int engines, int services, long tokenMs) {

    /** Availability zones over which the processes are spread in turn. */
    static final int AVAILABILITY_ZONES = 4;

    /** Checks the counts. */
    public FleetPlan {
        if (voters < 1 || voters > instances) {
            throw new IllegalArgumentException(
                    "voters must be between 1 and the number of instances");
        }
    }

    static String availabilityZone(int index) {
        return "az" + (index % AVAILABILITY_ZONES + 1);
    }
}
