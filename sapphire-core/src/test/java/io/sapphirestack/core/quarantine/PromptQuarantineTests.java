package io.sapphirestack.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against prompts that crash one engine after the other, and against a quarantine of prompts
 * that only share a part with them or happened to run on engines that crashed.
 */
class PromptQuarantineTests {

    private static final String SERVICE = "scribe";
    private static final long PREFILL_MS = 1_500;

    /** Short enough that the crashes of a request and its retries are within one episode. */
    private static final long RETRY_RUN_MS = 50;

    private long nowMs = 1_000_000_000;
    private int crashCount;
    private int requestCount;
    private final CrashReportTable reports = new CrashReportTable(() -> nowMs);
    private final PromptQuarantine quarantine = new PromptQuarantine(reports, () -> nowMs);

    /** Returns the fingerprint of a request that was not sent before. */
    private RequestFingerprint newRequest() {
        return new RequestFingerprint(++requestCount);
    }

    private static PromptParts prompt(String... ids) {
        return new PromptParts(List.of(ids));
    }

    private void crash(String... ids) {
        crashAt("e" + crashCount++, ids);
    }

    private void crashAt(String endpoint, String... ids) {
        crashAfter(PREFILL_MS, endpoint, ids);
    }

    private void crashAfter(long waitedMs, String endpoint, String... ids) {
        quarantine.recordCrash(
                EndpointId.of(endpoint), 1, SERVICE, prompt(ids), newRequest(), waitedMs);
    }

    /** Lets an engine crash, with the prompt waiting there, in an episode of its own. */
    private void crashLater(String... ids) {
        nowMs += CrashAnalysis.EPISODE_MS + 1;
        crash(ids);
    }

    /** Sends a retry in the millisecond of the previous crash; it crashes its engine as well. */
    private void retryCrashes(String endpoint, String... ids) {
        long reportedSentAtMs = RequestQuarantine.reportedSentAtMs(nowMs, true);
        nowMs += RETRY_RUN_MS;
        crashAfter(nowMs - reportedSentAtMs, endpoint, ids);
    }

    private boolean isQuarantined(String... ids) {
        return quarantine.remainingMs(SERVICE, prompt(ids), newRequest()).isPresent();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "none",
            value = {
                "a:200,b:8000 | a",
                "a:1,b:2,c:3 | a b",
                "a | none",
                "a,b,c | a b",
                " a:1 , b:2 | a",
                "a:1,,c:2 | none",
                "'' | none"
            })
    void sharedPartsAreAllButTheLast(String value, String expected) {
        List<String> parts = expected == null ? List.of() : List.of(expected.split(" "));
        assertThat(PromptParts.parse(value).shared()).isEqualTo(parts);
    }

    @Test
    void partThatCrashesThreeEnginesIsQuarantinedForAllPromptsWithIt() {
        crashLater("a", "deadly");
        crashLater("b", "deadly");
        assertThat(isQuarantined("c", "deadly")).isFalse();
        crashLater("c", "deadly");
        assertThat(isQuarantined("d", "deadly")).isTrue();
        assertThat(isQuarantined("a")).isFalse();
        assertThat(quarantine.size()).isEqualTo(1);
    }

    @Test
    void promptsThatShareOnlyOtherPartsAreNotQuarantined() {
        for (int i = 0; i < 3; i++) {
            crashLater("shared", "deadly");
        }
        assertThat(isQuarantined("shared", "deadly", "own")).isTrue();
        assertThat(isQuarantined("shared", "own")).isFalse();
        assertThat(isQuarantined("shared")).isFalse();
    }

    @Test
    void partIsNotBlamedForTheCrashesOfASingleRequestThatComesAgain() {
        RequestFingerprint deadly = newRequest();
        for (int i = 0; i < 3; i++) {
            nowMs += CrashAnalysis.EPISODE_MS + 1;
            EndpointId engine = EndpointId.of("e" + i);
            quarantine.recordCrash(engine, 1, SERVICE, prompt("rare"), deadly, PREFILL_MS);
        }
        assertThat(quarantine.remainingMs(SERVICE, prompt("rare"), deadly)).isPresent();
        assertThat(isQuarantined("rare")).isFalse();
    }

    @Test
    void crashOfOnePartOfAGroupShowsTheCause() {
        for (int i = 0; i < 3; i++) {
            crashLater("companion", "deadly");
        }
        assertThat(isQuarantined("deadly")).isFalse();
        crashLater("deadly");
        assertThat(isQuarantined("deadly")).isTrue();
        assertThat(isQuarantined("companion")).isFalse();
    }

    @Test
    void answerClearsThePartsOfAPromptButNotThoseOfOthers() {
        for (int i = 0; i < 3; i++) {
            crashLater("popular", "deadly");
        }
        assertThat(quarantine.recordAnswer(SERVICE, prompt("popular"), newRequest())).isTrue();
        assertThat(quarantine.recordAnswer(SERVICE, prompt("popular"), newRequest())).isFalse();
        assertThat(isQuarantined("deadly")).isTrue();
        quarantine.recordAnswer(SERVICE, prompt("deadly"), newRequest());
        assertThat(isQuarantined("popular", "deadly")).isFalse();
    }

    @Test
    void enginesThatCrashTogetherDoNotQuarantineAPartThatManyPromptsShare() {
        for (int i = 0; i < 20; i++) {
            crash("popular");
            nowMs += 10;
        }
        assertThat(isQuarantined("popular")).isFalse();
    }

    @Test
    void promptThatIsSentAgainAndCrashesTheNextEngineAtOnceIsQuarantined() {
        crashAt("e1", "deadly");
        retryCrashes("e2", "deadly");
        retryCrashes("e3", "deadly");
        assertThat(isQuarantined("deadly")).isTrue();
    }

    @Test
    void repeatedReportsOfOneCrashCountOnce() {
        for (int i = 0; i < 5; i++) {
            crashAt("e1", "p" + i, "victim");
            nowMs += 1_000;
        }
        assertThat(isQuarantined("victim")).isFalse();
    }

    @Test
    void promptThatWaitedBesideAQuarantinedOneIsNotSuspectedForThoseCrashes() {
        for (int i = 0; i < 4; i++) {
            nowMs += 1_000;
            crashAt("e" + i, "deadly");
            if (i < 3) {
                crashAt("e" + i, "victim");
            }
        }
        assertThat(isQuarantined("deadly")).isTrue();
        assertThat(isQuarantined("victim")).isFalse();
    }

    @Test
    void partIsQuarantinedOnlyForTheServiceWhoseEnginesCrashed() {
        for (int i = 0; i < 3; i++) {
            crashLater("deadly");
        }
        assertThat(quarantine.remainingMs("other", prompt("deadly"), newRequest())).isEmpty();
        quarantine.recordAnswer("other", prompt("deadly"), newRequest());
        assertThat(isQuarantined("deadly")).isTrue();
    }

    @Test
    void quarantineEndsAfterAWhileAndOneMoreCrashRenewsIt() {
        for (int i = 0; i < 3; i++) {
            crashLater("deadly");
        }
        assertThat(quarantine.remainingMs(SERVICE, prompt("deadly"), newRequest()))
                .hasValue(PromptQuarantine.QUARANTINE_MS);
        nowMs += PromptQuarantine.QUARANTINE_MS;
        assertThat(isQuarantined("deadly")).isFalse();
        assertThat(quarantine.size()).isZero();
        crashLater("deadly");
        assertThat(isQuarantined("deadly")).isTrue();
    }

    @Test
    void oldestReportsAreRemovedFirst() {
        for (int i = 0; i < CrashReportTable.MAX_REPORTS + 10; i++) {
            crashLater("p" + i);
        }
        assertThat(reports.changedSince(0)).hasSize(CrashReportTable.MAX_REPORTS);
        nowMs += CrashReportTable.RETENTION_MS + 1;
        crash("p");
        assertThat(reports.changedSince(0)).hasSize(1);
    }
}
