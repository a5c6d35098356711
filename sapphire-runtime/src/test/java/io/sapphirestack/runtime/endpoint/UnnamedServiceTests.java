package io.sapphirestack.runtime.endpoint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.routing.EndpointState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against entries of a service that no configuration names, which hid the sound endpoint
 * with the same address or identifier (review/15). Whatever their fields say, and on whatever way
 * they come, the endpoint is used by all instances.
 */
class UnnamedServiceTests extends AbstractDisseminationTests {

    private static final String SOUND_ADDRESS = "127.0.0.1:1";
    private static final long EPOCH_MS = 5_000;
    private static final int HEARTBEAT_ROUNDS = 12;
    private static final int ROUNDS = 200;

    /** Rounds until all instances know an endpoint that has just started. */
    private static final int SETTLING_ROUNDS = 12;

    private record Entry(
            String id, String address, long epochMs, long sequenceOffset, EndpointPhase phase) {}

    @ParameterizedTest
    @CsvSource({
        // receiver, round of the first foreign entry, round of the last one, foreign rounds
        "0, 1, 200, 12",
        "1, 1, 200, 12",
        "2, 1, 20, 12",
        "1, 40, 200, 50",
        "0, 40, 60, 7"
    })
    void foreignEntriesChangeNothingForASoundEndpoint(
            int receiver, int firstRound, int lastRound, int interval) {
        for (Entry entry : allEntries()) {
            startMembers(3);
            for (int round = 1; round <= ROUNDS; round++) {
                if (round >= firstRound && round <= lastRound && round % interval == 0) {
                    receive(receiver, foreign(entry, round));
                }
                if (round > HEARTBEAT_ROUNDS && round % HEARTBEAT_ROUNDS == 0) {
                    receive(0, sound(round));
                }
                runRound();
                if (round >= 2 * HEARTBEAT_ROUNDS + SETTLING_ROUNDS) {
                    assertSoundEndpointIsUsed(entry, round);
                }
            }
        }
    }

    /** The endpoint is silent for longer than a heartbeat, for example cut off, and comes back. */
    @Test
    void foreignEntriesDoNotTakeTheNameOfAnEndpointThatIsSilentForSeconds() {
        for (Entry entry : allEntries()) {
            startMembers(3);
            for (int round = 1; round <= ROUNDS; round++) {
                boolean isSilent = round > 30 && round < 90;
                if (round % HEARTBEAT_ROUNDS == 0 && !isSilent) {
                    receive(0, sound(round));
                }
                if (round > 30 && round % HEARTBEAT_ROUNDS == 6) {
                    receive(1, foreign(entry, round));
                }
                runRound();
                if (round >= 2 * HEARTBEAT_ROUNDS) {
                    assertSoundEndpointIsUsed(entry, round);
                }
            }
        }
    }

    /** A configuration may name the service later; the usual rules hold from then on. */
    @Test
    void serviceThatIsNamedLaterTakesOverTheAddress() {
        startMembers(3);
        Entry later = new Entry("e2", SOUND_ADDRESS, EPOCH_MS + 1, 0, EndpointPhase.SERVING);
        receive(0, sound(1));
        receive(1, foreign(later, 1));
        for (int round = 0; round < SETTLING_ROUNDS; round++) {
            runRound();
        }
        assertThat(members).allMatch(member -> served(member, "scribe").size() == 1);

        namedServices = Set.of("scribe", "other");
        runRound();

        for (Member member : members) {
            assertThat(served(member, "scribe")).isEmpty();
            assertThat(served(member, "other")).hasSize(1);
        }
    }

    private static List<Entry> allEntries() {
        List<Entry> entries = new ArrayList<>();
        for (String id : List.of("e1", "e2")) {
            for (String address : List.of(SOUND_ADDRESS, "127.0.0.1:2")) {
                for (long epochMs : List.of(0L, EPOCH_MS - 1, EPOCH_MS, EPOCH_MS + 1_000)) {
                    for (long sequenceOffset : List.of(-1L, 0L, 1_000L)) {
                        for (EndpointPhase phase : EndpointPhase.values()) {
                            entries.add(new Entry(id, address, epochMs, sequenceOffset, phase));
                        }
                    }
                }
            }
        }
        return entries;
    }

    private void assertSoundEndpointIsUsed(Entry entry, int round) {
        for (Member member : members) {
            assertThat(served(member, "scribe"))
                    .as("endpoints at %s in round %s after %s", member.info.ref(), round, entry)
                    .extracting(EndpointState::id, EndpointState::address, EndpointState::epochMs)
                    .containsExactly(tuple(EndpointId.of("e1"), SOUND_ADDRESS, EPOCH_MS));
        }
    }

    private static List<EndpointState> served(Member member, String service) {
        return member.table.read().ofService(service);
    }

    private void receive(int member, EndpointAnnouncement announcement) {
        try {
            members.get(member).registry.receiveTrusted(announcement);
        } catch (RefusedException e) {
            assertThat(announcement.service()).as("service of a refused entry").isEqualTo("other");
        }
    }

    private static EndpointAnnouncement sound(int round) {
        return announcement("e1", "scribe", SOUND_ADDRESS, EPOCH_MS, round, EndpointPhase.SERVING);
    }

    private static EndpointAnnouncement foreign(Entry entry, int round) {
        return announcement(
                entry.id(),
                "other",
                entry.address(),
                entry.epochMs(),
                Math.max(0, round + entry.sequenceOffset()),
                entry.phase());
    }

    private static EndpointAnnouncement announcement(
            String id,
            String service,
            String address,
            long epochMs,
            long sequence,
            EndpointPhase phase) {
        return new EndpointAnnouncement(
                EndpointId.of(id),
                service,
                address,
                "az1",
                epochMs,
                sequence,
                List.of(),
                new EndpointLoad(0, 0, 8, 0),
                List.of(),
                0,
                phase,
                "v1");
    }
}
