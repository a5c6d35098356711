package io.sapphirestack.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.id.InstanceId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against instances that disagree about crashes because messages were lost or reordered. */
class EvidenceExchangeTests {

    private static final long NOW_MS = 1_000_000_000;

    /** One instance of a fully connected fleet. */
    private static final class Member {
        private final InstanceId id;
        private final CrashReportTable reports = new CrashReportTable(() -> NOW_MS);
        private final EvidenceExchange<CrashReport> exchange = EvidenceExchange.ofReports(reports);

        Member(int number) {
            id = InstanceId.of("i" + number);
        }

        void sendTo(Member other, boolean lost) {
            byte[] message = exchange.encodeFor(other.id);
            if (lost) {
                exchange.sendAllNext(other.id);
            } else {
                other.exchange.receive(message);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void allInstancesConvergeWhateverIsLost(long seed) {
        Random random = new Random(seed);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            members.add(new Member(i));
        }
        for (int step = 0; step < 200; step++) {
            Member member = members.get(random.nextInt(4));
            long part = random.nextInt(6);
            switch (random.nextInt(4)) {
                case 0 ->
                        member.reports.merge(
                                List.of(
                                        new CrashReport(
                                                random.nextInt(9),
                                                NOW_MS - random.nextInt(9_000),
                                                NOW_MS - random.nextInt(5_000),
                                                List.of(part, part + 1),
                                                (short) 0)));
                case 1 -> member.reports.clear(Set.of(part));
                default -> member.sendTo(members.get(random.nextInt(4)), random.nextBoolean());
            }
        }
        for (int round = 0; round < 4; round++) {
            members.forEach(from -> members.forEach(to -> from.sendTo(to, false)));
        }
        for (Member member : members) {
            assertThat(member.reports.changedSince(0))
                    .isNotEmpty()
                    .containsExactlyInAnyOrderElementsOf(members.get(0).reports.changedSince(0));
            members.forEach(to -> assertThat(member.exchange.encodeFor(to.id)).isEmpty());
        }
    }

    @Test
    void malformedMessageIsRejectedAsAWhole() {
        Member member = new Member(1);
        member.reports.merge(
                List.of(new CrashReport(1, NOW_MS, NOW_MS, List.of(7L, 8L), (short) 1)));
        byte[] message = member.exchange.encodeFor(InstanceId.of("i2"));
        Member receiver = new Member(2);
        byte[] truncated = Arrays.copyOf(message, message.length - 1);
        assertThatThrownBy(() -> receiver.exchange.receive(truncated))
                .isInstanceOf(IllegalArgumentException.class);
        message[22] = 17;
        assertThatThrownBy(() -> receiver.exchange.receive(message))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(receiver.reports.changedSince(0)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            longs = {-CrashReportTable.RETENTION_MS - 1, CrashReportTable.MAX_CLOCK_SKEW_MS + 1})
    void reportsFromAnInstanceWithAWrongClockAreIgnored(long offsetMs) {
        Member member = new Member(1);
        member.reports.merge(
                List.of(new CrashReport(1, NOW_MS, NOW_MS + offsetMs, List.of(7L), (short) 0)));
        assertThat(member.reports.changedSince(0)).isEmpty();
    }
}
