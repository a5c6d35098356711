package io.sapphirestack.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.id.OrderKey;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records committed entries, results, reads and leaders of all voters, and fails as soon as a voter
 * contradicts what was recorded before.
 */
final class ControlOracle {

    private final TreeMap<Long, ReplicationEntry> committedEntries = new TreeMap<>();
    private final Map<Object, ControlResult> results = new HashMap<>();
    private final Map<String, String> acceptedChanges = new HashMap<>();
    private final Map<OrderKey, Set<String>> activeGrants = new HashMap<>();
    private final Set<String> releasedNonces = new HashSet<>();
    private final Map<String, Long> pendingReads = new HashMap<>();
    private final Map<Long, String> leaders = new HashMap<>();
    private final TreeMap<Long, Long> electedAtMs = new TreeMap<>();
    private int confirmedReads;

    void onCommitted(String address, ReplicationEntry entry) {
        ReplicationEntry first = committedEntries.putIfAbsent(entry.index(), entry);
        if (first != null) {
            assertThat(
                            entry.term() == first.term()
                                    && entry.timeMs() == first.timeMs()
                                    && entry.membership().equals(first.membership())
                                    && Arrays.equals(entry.command(), first.command()))
                    .as("entry %s at %s equals the one committed first", entry.index(), address)
                    .isTrue();
        }
        ReplicationEntry previous = committedEntries.get(entry.index() - 1);
        if (previous != null) {
            assertThat(entry.timeMs())
                    .as("time of entry %s", entry.index())
                    .isGreaterThanOrEqualTo(previous.timeMs());
        }
    }

    void onResult(ControlCommand command, ControlResult result) {
        if (command instanceof ControlCommand.PutRecord put) {
            checkSameAsFirst(put.changeId(), result);
            if (result instanceof ControlResult.RecordAccepted) {
                String acceptedChange =
                        acceptedChanges.putIfAbsent(
                                put.key() + "@" + put.expectedRevision(), put.changeId());
                assertThat(acceptedChange == null || acceptedChange.equals(put.changeId()))
                        .as("one accepted change for %s at %s", put.key(), put.expectedRevision())
                        .isTrue();
            }
        } else if (command instanceof ControlCommand.JoinInstance join) {
            checkSameAsFirst(join.joinId(), result);
        } else if (command instanceof ControlCommand.ReserveOrder reserve
                && result instanceof ControlResult.OrderGranted granted
                && !releasedNonces.contains(granted.nonce())) {
            Set<String> nonces =
                    activeGrants.computeIfAbsent(reserve.key(), key -> new HashSet<>());
            nonces.add(granted.nonce());
            assertThat(nonces).as("active grants for %s", reserve.key()).hasSize(1);
        }
    }

    /** Records that the holder will never dispatch under this reservation. */
    void onReleased(OrderKey key, String nonce) {
        releasedNonces.add(nonce);
        activeGrants.computeIfAbsent(key, k -> new HashSet<>()).remove(nonce);
    }

    void onReadStarted(String address, long id) {
        pendingReads.put(address + "#" + id, lastCommitted());
    }

    void onReadEnded(String address, ReadResult result) {
        Long required = pendingReads.remove(address + "#" + result.id());
        if (result.confirmed() && required != null) {
            confirmedReads++;
            assertThat(result.index())
                    .as("read at %s includes all entries committed before it", address)
                    .isGreaterThanOrEqualTo(required);
        }
    }

    /** Checks that a term has one leader and its lease ends before the next leader may act. */
    void checkLeader(String address, LeaderTerm leaderTerm, long nowMs) {
        String leader = leaders.putIfAbsent(leaderTerm.term(), address);
        assertThat(leader == null || leader.equals(address))
                .as("one leader in term %s", leaderTerm.term())
                .isTrue();
        electedAtMs.putIfAbsent(leaderTerm.term(), leaderTerm.electedAtMs());
        Map.Entry<Long, Long> next = electedAtMs.higherEntry(leaderTerm.term());
        if (next != null && leaderTerm.isLeaseValidAt(nowMs)) {
            assertThat(nowMs)
                    .as(
                            "lease of term %s ends before term %s acts",
                            leaderTerm.term(), next.getKey())
                    .isLessThan(next.getValue() + 1_000);
        }
    }

    long lastCommitted() {
        return committedEntries.isEmpty() ? 0 : committedEntries.lastKey();
    }

    int confirmedReads() {
        return confirmedReads;
    }

    int resultCount() {
        return results.size();
    }

    private void checkSameAsFirst(Object id, ControlResult result) {
        ControlResult first = results.putIfAbsent(id, result);
        if (first != null) {
            assertThat(result).as("result of the resent command %s", id).isEqualTo(first);
        }
    }
}
