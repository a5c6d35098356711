package io.sapphirestack.standins.demo;

import io.sapphirestack.client.ClientException;

/** One step of the demonstration. */
@FunctionalInterface
interface DemoStep {

    /**
     * Runs the step.
     *
     * @param context running system and its clients
     * @return result of the step
     * @throws ClientException if the system refused a request that it had to accept
     * @throws FleetException if the fleet did not reach the required state in time
     */
    StepResult run(DemoContext context) throws ClientException, FleetException;
}
