package io.sapphirestack.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against streams that run on without a standby copy although one could be ordered. */
class StandbyCopyStateTests {

    private static final long LIFETIME_MS = 4_000;

    private final StandbyCopyState state = new StandbyCopyState(LIFETIME_MS);

    @ParameterizedTest
    @CsvSource({"499, NONE, true", "500, CHECK_HOLDER, true", "60000, CHECK_HOLDER, true"})
    void holderOfAnAutomaticCopyIsChecked(
            long elapsedMs, StandbyCopyState.Action expected, boolean usable) {
        state.recordAutomatic(0);
        assertEquals(expected, state.next(elapsedMs));
        assertEquals(usable, state.isUsable(elapsedMs));
    }

    @ParameterizedTest
    @CsvSource({
        "999, NONE, true",
        "1000, RENEW, true",
        "3599, RENEW, true",
        "3600, REPLACE, false",
        "5000, REPLACE, false"
    })
    void orderedCopyIsRenewedAndReplacedBeforeItExpires(
            long elapsedMs, StandbyCopyState.Action expected, boolean usable) {
        state.recordOrder(0);
        state.recordOrdered(0);
        assertEquals(expected, state.next(elapsedMs));
        assertEquals(usable, state.isUsable(elapsedMs));
    }

    @Test
    void reachableHolderIsCheckedAgainLater() {
        state.recordAutomatic(0);
        state.recordHolderReachable(500);
        assertEquals(StandbyCopyState.Action.NONE, state.next(999));
        assertEquals(StandbyCopyState.Action.CHECK_HOLDER, state.next(1_000));
    }

    @Test
    void lostCopyIsReplacedAtOnceAndOrdersAreSpacedWhileNoneSucceeds() {
        state.recordAutomatic(0);
        state.recordLost();
        assertEquals(StandbyCopyState.Action.REPLACE, state.next(10));
        state.recordOrder(10);
        assertEquals(StandbyCopyState.Action.NONE, state.next(259));
        assertEquals(StandbyCopyState.Action.REPLACE, state.next(260));
    }

    @Test
    void nothingIsDueWhereEnginesMakeNoCopiesOnOrder() {
        StandbyCopyState automaticOnly = new StandbyCopyState(0);
        automaticOnly.recordAutomatic(0);
        assertEquals(StandbyCopyState.Action.NONE, automaticOnly.next(10_000));
        automaticOnly.recordLost();
        assertEquals(StandbyCopyState.Action.NONE, automaticOnly.next(20_000));
    }
}
