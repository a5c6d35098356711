package io.sapphirestack.runtime.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.runtime.transport.PeerHandler;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against instances that never learn the voters because the instances in their settings know
 * none either, which happened when three of them without a disk restarted together (review/9).
 */
class VoterDiscoveryTests {

    private static final FindVotersRequest.Voters VOTERS =
            new FindVotersRequest.Voters(7, List.of("v1:1", "v2:1", "v3:1"));

    /** Bound within which instances are to learn the voters, in milliseconds. */
    private static final long LEARN_MS = 3_000;

    private final Map<String, Instance> instances = new HashMap<>();
    private long nowMs = 1_000;

    /** What the instances that know the voters have of those that restarted. */
    private enum Knowledge {
        /** They are the seeds of all settings. */
        SEEDS,
        /** They were members until they were evicted; the settings name others. */
        FORMER_MEMBERS,
        /** They are still members, because they restarted before they were evicted. */
        MEMBERS
    }

    /** Instance with the real discovery and a transport that delivers at once. */
    private final class Instance implements PeerTransport, PeerHandlerRegistry {
        private final String address;
        private final VoterDirectory directory;
        private final Map<Class<?>, PeerHandler<?, ?>> handlers = new HashMap<>();
        private final VoterDiscovery discovery;
        private List<String> members = List.of();

        Instance(String address, List<String> seeds) {
            this.address = address;
            this.directory = new VoterDirectory(seeds);
            this.discovery =
                    new VoterDiscovery(
                            address,
                            directory,
                            this,
                            () -> members,
                            this::knowsVoters,
                            () -> nowMs,
                            new Random(address.hashCode()));
            discovery.register(this);
            instances.put(address, this);
        }

        boolean knowsVoters() {
            return directory.voters().equals(VOTERS);
        }

        @Override
        public <Q extends PeerRequest<R>, R> void register(
                Class<Q> type, PeerHandler<Q, R> handler) {
            handlers.put(type, handler);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <R> CompletableFuture<R> call(
                String target, PeerRequest<R> request, long timeoutMs) {
            assertThat(target).as("an instance does not ask itself").isNotEqualTo(address);
            Instance receiver = instances.get(target);
            if (receiver == null) {
                return CompletableFuture.failedFuture(
                        new TransportException("connect", target, "refused", false, null));
            }
            PeerHandler<PeerRequest<R>, R> handler =
                    (PeerHandler<PeerRequest<R>, R>) receiver.handlers.get(request.getClass());
            return handler.handle(request);
        }
    }

    private void run(long durationMs) {
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += 50) {
            List.copyOf(instances.values()).forEach(instance -> instance.discovery.tick());
        }
    }

    @ParameterizedTest
    @EnumSource(Knowledge.class)
    void seedsThatRestartTogetherWithoutADiskLearnTheVoters(Knowledge knowledge) {
        List<String> seeds = List.of("s1:1", "s2:1", "s3:1");
        for (String voter : VOTERS.addresses()) {
            Instance instance =
                    new Instance(voter, knowledge == Knowledge.SEEDS ? seeds : VOTERS.addresses());
            instance.directory.updateIfNewer(VOTERS);
            instance.members = knowledge == Knowledge.SEEDS ? List.of() : seeds;
        }
        run(LEARN_MS);
        if (knowledge == Knowledge.FORMER_MEMBERS) {
            instances.values().forEach(instance -> instance.members = List.of());
        }

        List<Instance> restarted = seeds.stream().map(s -> new Instance(s, seeds)).toList();
        run(LEARN_MS);

        assertThat(restarted).allMatch(Instance::knowsVoters);
    }

    /** The seeds of an instance may be gone; those of another instance that it asks are not. */
    @Test
    void instanceAsksTheSeedsOfOthers() {
        new Instance("v1:1", List.of("gone:1")).directory.updateIfNewer(VOTERS);
        new Instance("i1:1", List.of("v1:1"));
        Instance last = new Instance("i2:1", List.of("gone:1", "i1:1"));

        run(LEARN_MS);

        assertThat(last.knowsVoters()).isTrue();
    }

    /** Voters of settings are not those of the control log and must not replace them. */
    @Test
    void votersOfSettingsDoNotReplaceThoseOfTheLog() {
        Instance knowing = new Instance("v1:1", List.of("s1:1"));
        knowing.directory.updateIfNewer(VOTERS);
        new Instance("s1:1", List.of("v1:1", "old:1"));

        run(LEARN_MS);

        assertThat(instances.values()).allMatch(Instance::knowsVoters);
    }

    @Test
    void requestOfAnEarlierBuildHasNoVoters() {
        assertThat(new FindVotersRequest(null).known().addresses()).isEmpty();
    }

    /** The addresses that are remembered must be bounded in number and time. */
    @Test
    void contactsAreBounded() {
        PeerContacts contacts = new PeerContacts();
        for (int i = 0; i <= PeerContacts.MAX_ADDRESSES; i++) {
            contacts.add(List.of("i" + i), 0);
        }
        assertThat(contacts.addresses())
                .hasSize(PeerContacts.MAX_ADDRESSES)
                .doesNotContain("i0")
                .contains("i" + PeerContacts.MAX_ADDRESSES);

        contacts.add(List.of("new"), PeerContacts.REMEMBER_MS + 1);

        assertThat(contacts.addresses()).containsExactly("new");
    }
}
