package io.sapphirestack.standins.load;

import java.util.List;

/**
 * Options of the load command.
 *
 * @param instanceAddresses addresses of instances from which to fetch the list of addresses
 * @param accountKey bearer key of the client account
 * @param model name of the model record
 * @param service name of the plain service
 * @param durationS duration in seconds
 * @param generationsPerS generations per second, 0 for none
 * @param ordersPerS orders per second, 0 for none
 * @param readsPerS reads per second, 0 for none
 * @param tokens number of tokens of each generation
 * @param promptBytes length of each prompt in bytes
 * @param seed first sampling seed, and seed of the choice of instances
 */
record LoadOptions(
        List<String> instanceAddresses,
        String accountKey,
        String model,
        String service,
        long durationS,
        double generationsPerS,
        double ordersPerS,
        double readsPerS,
        int tokens,
        int promptBytes,
        long seed) {}
