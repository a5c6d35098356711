package io.sapphirestack.standins.demo;

/**
 * Number of processes of a fleet and speed of its engines.
 *
 * @param instances number of entry instances
 * @param voters number of instances that store the control log and vote in it
 * @param engines number of engines
 * @param services number of plain services
 * @param tokenMs time between two tokens of an engine in milliseconds
 */
public record FleetPlan(int instances, int voters, int engines, int services, long tokenMs) {

    /** Number of availability zones, to which the processes are assigned in turn. */
    static final int AVAILABILITY_ZONES = 4;

    /**
     * Validates the number of voters.
     *
     * @throws IllegalArgumentException if it is not between 1 and the number of instances
     */
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
