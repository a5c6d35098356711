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

/** Knows what was committed and answered, and fails as soon as a voter contradicts it. */
final class ControlOracle {

    private final TreeMap<Long, ReplicationEntry> committed = new TreeMap<>();
    private final Map<Object, ControlResult> answers = new HashMap<>();
    private final Map<String, String> winners = new HashMap<>();
    private final Map<OrderKey, Set<String>> grantsInForce = new HashMap<>();
    private final Set<String> givenUp = new HashSet<>();
    private final Map<String, Long> reads = new HashMap<>();
    private final Map<Long, String> leaders = new HashMap<>();
    private final TreeMap<Long, Long> electedAtMs = new TreeMap<>();
    private int confirmedReads;

    void committed(String address, ReplicationEntry entry) {
        ReplicationEntry first = committed.putIfAbsent(entry.index(), entry);
        if (first != null) {
            assertThat(
                            entry.term() == first.term()
                                    && entry.timeMs() == first.timeMs()
                                    && entry.membership().equals(first.membership())
                                    && Arrays.equals(entry.command(), first.command()))
                    .as("entry %s at %s is the one committed first", entry.index(), address)
                    .isTrue();
        }
        ReplicationEntry before = committed.get(entry.index() - 1);
        if (before != null) {
            assertThat(entry.timeMs())
                    .as("time of entry %s", entry.index())
                    .isGreaterThanOrEqualTo(before.timeMs());
        }
    }

    void answered(ControlCommand command, ControlResult result) {
        if (command instanceof ControlCommand.PutRecord put) {
            sameAsFirst(put.changeId(), result);
            if (result instanceof ControlResult.RecordAccepted) {
                String winner =
                        winners.putIfAbsent(
                                put.key() + "@" + put.expectedRevision(), put.changeId());
                assertThat(winner == null || winner.equals(put.changeId()))
                        .as("one winner for %s at %s", put.key(), put.expectedRevision())
                        .isTrue();
            }
        } else if (command instanceof ControlCommand.JoinInstance join) {
            sameAsFirst(join.joinId(), result);
        } else if (command instanceof ControlCommand.ReserveOrder reserve
                && result instanceof ControlResult.OrderGranted granted
                && !givenUp.contains(granted.nonce())) {
            Set<String> inForce =
                    grantsInForce.computeIfAbsent(reserve.key(), key -> new HashSet<>());
            inForce.add(granted.nonce());
            assertThat(inForce).as("grants in force for %s", reserve.key()).hasSize(1);
        }
    }

    /** The holder will never dispatch under this reservation. */
    void gaveUp(OrderKey key, String nonce) {
        givenUp.add(nonce);
        grantsInForce.computeIfAbsent(key, k -> new HashSet<>()).remove(nonce);
    }

    void readStarted(String address, long id) {
        reads.put(address + "#" + id, lastCommitted());
    }

    void readEnded(String address, ReadResult result) {
        Long required = reads.remove(address + "#" + result.id());
        if (result.confirmed() && required != null) {
            confirmedReads++;
            assertThat(result.index())
                    .as("read at %s contains everything committed before it", address)
                    .isGreaterThanOrEqualTo(required);
        }
    }

    void leads(String address, LeaderTerm term, long nowMs) {
        String leader = leaders.putIfAbsent(term.term(), address);
        assertThat(leader == null || leader.equals(address))
                .as("one leader in term %s", term.term())
                .isTrue();
        electedAtMs.putIfAbsent(term.term(), term.electedAtMs());
        Map.Entry<Long, Long> next = electedAtMs.higherEntry(term.term());
        if (next != null && term.isValidAt(nowMs)) {
            assertThat(nowMs)
                    .as("lease of term %s ends before term %s acts", term.term(), next.getKey())
                    .isLessThan(next.getValue() + 1_000);
        }
    }

    long lastCommitted() {
        return committed.isEmpty() ? 0 : committed.lastKey();
    }

    int confirmedReads() {
        return confirmedReads;
    }

    int answerCount() {
        return answers.size();
    }

    private void sameAsFirst(Object id, ControlResult result) {
        ControlResult first = answers.putIfAbsent(id, result);
        if (first != null) {
            assertThat(result).as("answer to the repeated change %s", id).isEqualTo(first);
        }
    }
}
