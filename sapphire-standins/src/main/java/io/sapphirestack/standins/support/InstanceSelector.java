package io.sapphirestack.standins.support;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.time.MillisClock;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Selects the instance to send a request to. It fetches the addresses from {@code GET
 * /v1/addresses}, caches them for the time given in the response and chooses by weight.
 * Thread-safe.
 */
public final class InstanceSelector {

    private static final int FETCH_TIMEOUT_MS = 500;
    // Twice the time for which a list is valid, so that the next list no longer contains a failed
    // instance.
    private static final long FAILED_EXCLUSION_MS = 4_000;

    private final List<String> seeds;
    private final String availabilityZone;
    private final MillisClock clock;
    private final Random random;
    private final Map<String, Long> failedAtMs = new HashMap<>();
    private List<WeightedAddress> listedAddresses = List.of();
    private long validUntilMs = Long.MIN_VALUE;

    /**
     * Creates a selector without a list of addresses.
     *
     * @param seeds addresses for the first fetch, and to fall back on; not empty
     * @param availabilityZone own availability zone, whose instances are preferred; empty for no
     *     preference
     * @param seed seed of the random choice
     * @param clock monotonic clock
     */
    public InstanceSelector(
            List<String> seeds, String availabilityZone, long seed, MillisClock clock) {
        if (seeds.isEmpty()) {
            throw new IllegalArgumentException("seeds must not be empty");
        }
        this.seeds = List.copyOf(seeds);
        this.availabilityZone = availabilityZone;
        this.clock = clock;
        this.random = new Random(seed);
    }

    /**
     * Chooses an address, fetching the list first if it has expired.
     *
     * @return address of a listed instance that has not failed recently, or one of the seeds if
     *     there is none
     */
    public String chooseAddress() {
        if (isExpired()) {
            fetchList();
        }
        return pickByWeight();
    }

    /**
     * Marks an address as failed after a failed connect, a broken stream or a refusal, so that
     * another one is chosen for a while.
     *
     * @param address address that failed
     */
    public synchronized void markFailed(String address) {
        failedAtMs.put(address, clock.nowMs());
    }

    private synchronized boolean isExpired() {
        return clock.nowMs() >= validUntilMs;
    }

    private synchronized String pickByWeight() {
        List<WeightedAddress> available = new ArrayList<>();
        for (WeightedAddress entry : listedAddresses) {
            if (!hasFailedRecently(entry.address())) {
                available.add(entry);
            }
        }
        List<WeightedAddress> inSameAvailabilityZone =
                available.stream()
                        .filter(entry -> entry.availabilityZone().equals(availabilityZone))
                        .toList();
        List<WeightedAddress> candidates =
                inSameAvailabilityZone.isEmpty() ? available : inSameAvailabilityZone;
        double totalWeight = candidates.stream().mapToDouble(WeightedAddress::weight).sum();
        double remainingWeight = random.nextDouble() * totalWeight;
        for (WeightedAddress entry : candidates) {
            remainingWeight -= entry.weight();
            if (remainingWeight <= 0) {
                return entry.address();
            }
        }
        List<String> availableSeeds =
                seeds.stream().filter(seed -> !hasFailedRecently(seed)).toList();
        List<String> fallback = availableSeeds.isEmpty() ? seeds : availableSeeds;
        return fallback.get(random.nextInt(fallback.size()));
    }

    private boolean hasFailedRecently(String address) {
        Long failedMs = failedAtMs.get(address);
        return failedMs != null && clock.nowMs() - failedMs < FAILED_EXCLUSION_MS;
    }

    private void fetchList() {
        for (String address : listSources()) {
            try {
                BufferedHttpResponse response =
                        StandInClientConnection.sendOnNewConnection(
                                address, FETCH_TIMEOUT_MS, "GET", "/v1/addresses", Map.of(), null);
                if (response.status() == 200) {
                    acceptList(response.json());
                    return;
                }
            } catch (IOException e) {
                markFailed(address);
            }
        }
    }

    private synchronized Set<String> listSources() {
        List<String> orderedSources =
                new ArrayList<>(listedAddresses.stream().map(WeightedAddress::address).toList());
        Collections.shuffle(orderedSources, random);
        List<String> shuffledSeeds = new ArrayList<>(seeds);
        Collections.shuffle(shuffledSeeds, random);
        orderedSources.addAll(shuffledSeeds);
        Set<String> sources = new LinkedHashSet<>();
        orderedSources.stream()
                .filter(address -> !hasFailedRecently(address))
                .forEach(sources::add);
        sources.addAll(orderedSources);
        return sources;
    }

    private synchronized void acceptList(JsonNode response) {
        List<WeightedAddress> addresses = new ArrayList<>();
        for (JsonNode node : response.path("addresses")) {
            addresses.add(
                    new WeightedAddress(
                            node.path("address").asText(),
                            node.path("availabilityZone").asText(),
                            Math.max(0, node.path("weight").asDouble(1))));
        }
        listedAddresses = List.copyOf(addresses);
        validUntilMs = clock.nowMs() + response.path("ttlMs").asLong(2_000);
    }

    private record WeightedAddress(String address, String availabilityZone, double weight) {}
}
