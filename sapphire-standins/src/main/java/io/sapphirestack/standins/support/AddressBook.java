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
 * Addresses of the instances, as any client keeps them: fetched from {@code GET /v1/addresses},
 * kept for the time that the answer allows, and chosen by weight. Thread-safe.
 */
public final class AddressBook {

    private static final int FETCH_TIMEOUT_MS = 500;
    // A failed address is left out for two lives of a list, so that a loss is in the next list.
    private static final long FAILED_MS = 4_000;

    private final List<String> seeds;
    private final String availabilityZone;
    private final MillisClock clock;
    private final Random random;
    private final Map<String, Long> failedAtMs = new HashMap<>();
    private List<Entry> entries = List.of();
    private long validUntilMs = Long.MIN_VALUE;

    /**
     * Creates a book.
     *
     * @param seeds addresses to ask first
     * @param availabilityZone own availability zone, preferred; empty for none
     * @param seed seed of the random choice
     * @param clock monotonic clock
     */
    public AddressBook(List<String> seeds, String availabilityZone, long seed, MillisClock clock) {
        if (seeds.isEmpty()) {
            throw new IllegalArgumentException("seeds must not be empty");
        }
        this.seeds = List.copyOf(seeds);
        this.availabilityZone = availabilityZone;
        this.clock = clock;
        this.random = new Random(seed);
    }

    /**
     * Chooses an address.
     *
     * @return address of an instance that was listed and has not failed lately, as far as there is
     *     one
     */
    public String choose() {
        if (stale()) {
            fetch();
        }
        return pick();
    }

    /**
     * Reports a failed connect, a broken stream or a refusal, so that another address is chosen.
     *
     * @param address address that failed
     */
    public synchronized void failed(String address) {
        failedAtMs.put(address, clock.nowMs());
    }

    private synchronized boolean stale() {
        return clock.nowMs() >= validUntilMs;
    }

    private synchronized String pick() {
        List<Entry> usable = new ArrayList<>();
        for (Entry entry : entries) {
            if (!failedLately(entry.address())) {
                usable.add(entry);
            }
        }
        List<Entry> near =
                usable.stream()
                        .filter(entry -> entry.availabilityZone().equals(availabilityZone))
                        .toList();
        List<Entry> candidates = near.isEmpty() ? usable : near;
        double total = candidates.stream().mapToDouble(Entry::weight).sum();
        double mark = random.nextDouble() * total;
        for (Entry entry : candidates) {
            mark -= entry.weight();
            if (mark <= 0) {
                return entry.address();
            }
        }
        List<String> left = seeds.stream().filter(seed -> !failedLately(seed)).toList();
        List<String> fallback = left.isEmpty() ? seeds : left;
        return fallback.get(random.nextInt(fallback.size()));
    }

    private boolean failedLately(String address) {
        Long atMs = failedAtMs.get(address);
        return atMs != null && clock.nowMs() - atMs < FAILED_MS;
    }

    private void fetch() {
        for (String address : sources()) {
            try {
                HttpAnswer answer =
                        HttpConnection.call(
                                address, FETCH_TIMEOUT_MS, "GET", "/v1/addresses", Map.of(), null);
                if (answer.status() == 200) {
                    accept(answer.json());
                    return;
                }
            } catch (IOException e) {
                failed(address);
            }
        }
    }

    private synchronized Set<String> sources() {
        List<String> known = new ArrayList<>(entries.stream().map(Entry::address).toList());
        Collections.shuffle(known, random);
        List<String> first = new ArrayList<>(seeds);
        Collections.shuffle(first, random);
        known.addAll(first);
        Set<String> sources = new LinkedHashSet<>();
        known.stream().filter(address -> !failedLately(address)).forEach(sources::add);
        sources.addAll(known);
        return sources;
    }

    private synchronized void accept(JsonNode answer) {
        List<Entry> next = new ArrayList<>();
        for (JsonNode node : answer.path("addresses")) {
            next.add(
                    new Entry(
                            node.path("address").asText(),
                            node.path("availabilityZone").asText(),
                            Math.max(0, node.path("weight").asDouble(1))));
        }
        entries = List.copyOf(next);
        validUntilMs = clock.nowMs() + answer.path("ttlMs").asLong(2_000);
    }

    private record Entry(String address, String availabilityZone, double weight) {}
}
