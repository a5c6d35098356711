package io.sapphirestack.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.ModelPin;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against delayed, duplicated or reordered reports that replace newer state by older state.
 */
class ReportTableTests {

    private static EndpointReport report(String id, long epoch, long sequence, long details) {
        boolean full = sequence == details;
        return new EndpointReport(
                EndpointId.of(id),
                epoch,
                sequence,
                details,
                0,
                new EndpointLoad((int) sequence, 0, 4, 0),
                full ? Optional.of(details(epoch, details)) : Optional.empty(),
                List.of());
    }

    private static EndpointDetails details(long epoch, long sequence) {
        ModelPin pin = new ModelPin("m", "", epoch + "." + sequence);
        return new EndpointDetails("scribe", "127.0.0.1:1", "az1", List.of(pin), 4);
    }

    /**
     * Announcements of three endpoints with up to three processes each and occasional changes of
     * details.
     */
    private static List<EndpointReport> history(Random random) {
        List<EndpointReport> all = new ArrayList<>();
        for (String id : List.of("a", "b", "c")) {
            for (long epoch = 1; epoch <= 1 + random.nextInt(3); epoch++) {
                long details = 1;
                for (long sequence = 1; sequence <= 1 + random.nextInt(8); sequence++) {
                    details = random.nextInt(3) == 0 ? sequence : details;
                    all.add(report(id, epoch, sequence, details));
                }
            }
        }
        return all;
    }

    @Property(seed = "4711", tries = 500)
    void reportsInAnyOrderWithDuplicatesLeadToTheNewestState(@ForAll long seed) {
        Random random = new Random(seed);
        List<EndpointReport> all = history(random);
        // Expected: the load with the highest sequence and the last details of the newest process.
        Map<EndpointId, EndpointReport> newest = new HashMap<>();
        for (EndpointReport report : all) {
            newest.merge(report.id(), report, ReportTableTests::newer);
        }
        List<EndpointReport> sent = new ArrayList<>(all);
        for (int i = random.nextInt(20); i > 0; i--) {
            sent.add(all.get(random.nextInt(all.size())));
        }
        Collections.shuffle(sent, random);
        ReportTable table = new ReportTable();
        List<EndpointReport> deferred = new ArrayList<>();
        for (EndpointReport report : sent) {
            if (table.merge(report, 0) == ReportTable.MergeResult.DETAILS_MISSING) {
                deferred.add(report);
            }
        }
        deferred.forEach(report -> table.merge(report, 0));
        assertThat(table.endpoints()).hasSize(3);
        newest.forEach(
                (id, expected) -> {
                    MergedEndpointState known = table.find(id).orElseThrow();
                    assertThat(known.epochMs()).isEqualTo(expected.epochMs());
                    assertThat(known.sequence()).isEqualTo(expected.sequence());
                    assertThat(known.load().running()).isEqualTo((int) expected.sequence());
                    assertThat(known.details())
                            .isEqualTo(details(expected.epochMs(), expected.detailsSequence()));
                });
    }

    private static EndpointReport newer(EndpointReport a, EndpointReport b) {
        return Comparator.comparingLong(EndpointReport::epochMs)
                                .thenComparingLong(EndpointReport::sequence)
                                .compare(a, b)
                        >= 0
                ? a
                : b;
    }

    @Property(seed = "4712", tries = 500)
    void sequenceNeverDecreasesAndOnlyNewerReportsArePassedOn(@ForAll long seed) {
        Random random = new Random(seed);
        List<EndpointReport> all = history(random);
        ReportTable table = new ReportTable();
        long nowMs = 0;
        Map<EndpointId, long[]> highest = new HashMap<>();
        for (int step = 0; step < 100; step++) {
            // Each step is shorter than the retention of tombstones.
            nowMs += random.nextInt(100) == 0 ? ReportTable.REMOVE_AFTER_MS : 1;
            table.expire(nowMs);
            EndpointReport report = all.get(random.nextInt(all.size()));
            ReportTable.MergeResult merge = table.merge(report, nowMs);
            long[] old = highest.getOrDefault(report.id(), new long[] {0, 0});
            boolean newer =
                    report.epochMs() > old[0]
                            || report.epochMs() == old[0] && report.sequence() > old[1];
            if (merge == ReportTable.MergeResult.NEWER && newer) {
                highest.put(report.id(), new long[] {report.epochMs(), report.sequence()});
            }
            table.find(report.id())
                    .ifPresent(
                            known -> {
                                long[] expected = highest.get(known.id());
                                assertThat(known.epochMs()).isEqualTo(expected[0]);
                                assertThat(known.sequence()).isEqualTo(expected[1]);
                            });
            assertThat(table.merge(report, nowMs)).isNotEqualTo(ReportTable.MergeResult.NEWER);
        }
    }

    @Test
    void endpointWithoutReportsIsRemovedAndDelayedReportDoesNotAddItAgain() {
        ReportTable table = new ReportTable();
        table.merge(report("a", 1, 5, 5), 0);
        assertThat(table.expire(ReportTable.REMOVE_AFTER_MS - 1)).isEmpty();
        assertThat(table.expire(ReportTable.REMOVE_AFTER_MS)).containsExactly(EndpointId.of("a"));
        assertThat(table.merge(report("a", 1, 5, 5), 10_001))
                .isEqualTo(ReportTable.MergeResult.STALE);
        assertThat(table.merge(report("a", 1, 4, 4), 10_001))
                .isEqualTo(ReportTable.MergeResult.STALE);
        assertThat(table.merge(report("a", 1, 6, 6), 10_002))
                .isEqualTo(ReportTable.MergeResult.NEWER);
    }

    @Test
    void reportThatIsOlderThanTheExpiryIsIgnored() {
        ReportTable table = new ReportTable();
        EndpointReport old = report("a", 1, 1, 1).withAge(ReportTable.REMOVE_AFTER_MS);
        assertThat(table.merge(old, 50_000)).isEqualTo(ReportTable.MergeResult.STALE);
    }

    @Property(seed = "4713", tries = 300)
    void codecRoundTripKeepsReports(@ForAll long seed) {
        Random random = new Random(seed);
        List<EndpointReport> all = history(random);
        ReportTable sender = new ReportTable();
        all.forEach(report -> sender.merge(report, 0));
        List<EndpointReport> batch = new ArrayList<>();
        sender.endpoints()
                .forEach(
                        known -> {
                            EndpointReport full = known.toReport(400);
                            long next = known.sequence() + 1 + random.nextInt(30_000);
                            batch.add(full);
                            batch.add(
                                    new EndpointReport(
                                            known.id(),
                                            known.epochMs(),
                                            next,
                                            known.detailsSequence(),
                                            80,
                                            new EndpointLoad(
                                                    random.nextInt(300), random.nextInt(2), 4, 0),
                                            Optional.empty(),
                                            random.nextBoolean()
                                                    ? List.of()
                                                    : List.of(CacheEvent.of(0x1234L, true))));
                        });
        ReportCodec.Decoded decoded =
                ReportCodec.decode(
                        ReportCodec.encode(batch), h -> sender.findByHandle(h).orElse(null));
        assertThat(decoded.missing()).isEmpty();
        assertThat(decoded.reports()).containsExactlyInAnyOrderElementsOf(batch);
    }

    @Test
    void unknownHandleIsReportedAsMissing() {
        byte[] bytes = ReportCodec.encode(List.of(report("a", 1, 2, 1)));
        ReportCodec.Decoded decoded = ReportCodec.decode(bytes, handle -> null);
        assertThat(decoded.reports()).isEmpty();
        assertThat(decoded.missing())
                .containsExactly(MergedEndpointState.handleOf(EndpointId.of("a"), 1));
    }

    @Test
    void loadOnlyReportTakesEightBytes() {
        List<EndpointReport> reports = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            reports.add(report("e" + i, 1_700_000_000_000L, 70_000, 1));
        }
        reports.replaceAll(
                r ->
                        new EndpointReport(
                                r.id(),
                                r.epochMs(),
                                r.sequence(),
                                1,
                                50,
                                new EndpointLoad(8, 3, 8, 300),
                                Optional.empty(),
                                List.of()));
        assertThat(ReportCodec.encode(reports)).hasSize(2 + 60 * 8);
    }
}
