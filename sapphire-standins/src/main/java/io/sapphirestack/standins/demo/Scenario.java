package io.sapphirestack.standins.demo;

import io.sapphirestack.client.ClientException;

/** One step of the demonstration. */
@FunctionalInterface
interface Scenario {

    /**
     * Runs the step.
     *
     * @param world running system
     * @return line of the table
     * @throws ClientException if the system refused what it had to accept
     * @throws FleetException if the fleet did not reach a state in time
     */
    DemoRow run(DemoWorld world) throws ClientException, FleetException;
}
