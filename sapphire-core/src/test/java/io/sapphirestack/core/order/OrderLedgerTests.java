package io.sapphirestack.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import org.junit.jupiter.api.Test;

/**
 * Guards against an order that is executed twice because its key is reserved again while it is in
 * flight, after its outcome, or by a delayed duplicate of a released reservation.
 */
class OrderLedgerTests {

    private static final InstanceRef HOLDER = new InstanceRef(InstanceId.of("i1"), 1);
    private static final OrderKey KEY = key("k");

    private final OrderLedger ledger = new OrderLedger(2, 100);

    @Test
    void secondReservationIsNotGranted() {
        assertThat(reserve("n1", 0)).isEqualTo(new OrderLedgerResult.Granted("n1"));
        assertThat(reserve("n2", 1)).isInstanceOf(OrderLedgerResult.Reserved.class);
        assertThat(reserve("n1", 2)).isEqualTo(new OrderLedgerResult.Granted("n1"));
    }

    @Test
    void delayedDuplicateDoesNotReinstateAReleasedReservation() {
        reserve("n1", 0);
        ledger.release(KEY, "n1", 1);

        assertThat(reserve("n1", 2)).isInstanceOf(OrderLedgerResult.Released.class);
        assertThat(reserve("n2", 3)).isEqualTo(new OrderLedgerResult.Granted("n2"));
        assertThat(reserve("n1", 4)).isInstanceOf(OrderLedgerResult.Released.class);
    }

    @Test
    void releaseThatArrivesBeforeItsReservationPreventsTheGrant() {
        ledger.release(KEY, "n1", 0);

        assertThat(reserve("n1", 1)).isInstanceOf(OrderLedgerResult.Released.class);
        assertThat(reserve("n2", 2)).isEqualTo(new OrderLedgerResult.Granted("n2"));
    }

    @Test
    void releaseOfAnotherReservationKeepsTheGrantInForce() {
        reserve("n1", 0);
        ledger.release(KEY, "n0", 1);

        assertThat(reserve("n2", 2)).isInstanceOf(OrderLedgerResult.Reserved.class);
    }

    @Test
    void outcomeIsKeptAndNeverReplaced() {
        reserve("n1", 0);
        ledger.complete(KEY, "n1", 200, "a/b", new byte[] {1}, 1);
        ledger.complete(KEY, "n1", 500, "c/d", new byte[] {2}, 2);
        ledger.release(KEY, "n1", 3);

        OrderLedgerResult.Done done = (OrderLedgerResult.Done) reserve("n2", 4);
        assertThat(done.entry().status()).isEqualTo(200);
        assertThat(done.entry().answer()).containsExactly(1);
    }

    @Test
    void outcomeOfAnotherReservationIsIgnored() {
        reserve("n1", 0);
        ledger.complete(KEY, "n0", 200, "a/b", new byte[] {1}, 1);

        assertThat(ledger.read(KEY, 2)).isInstanceOf(OrderLedgerResult.Reserved.class);
    }

    @Test
    void sameKeyWithAnotherBodyIsRefused() {
        reserve("n1", 0);

        assertThat(ledger.reserve(KEY, "other", HOLDER, "n2", 1))
                .isInstanceOf(OrderLedgerResult.KeyReused.class);
    }

    @Test
    void fullLedgerRefusesReservationsInsteadOfDroppingEntries() {
        reserve("n1", 0);
        ledger.reserve(key("k2"), "h", HOLDER, "n2", 0);

        assertThat(ledger.reserve(key("k3"), "h", HOLDER, "n3", 1))
                .isInstanceOf(OrderLedgerResult.LedgerFull.class);
        assertThat(ledger.read(KEY, 1)).isInstanceOf(OrderLedgerResult.Reserved.class);
    }

    @Test
    void totalSizeOfResponsesIsLimited() {
        reserve("n1", 0);
        ledger.complete(KEY, "n1", 200, "a/b", new byte[100], 1);

        assertThat(ledger.reserve(key("k2"), "h", HOLDER, "n2", 2))
                .isInstanceOf(OrderLedgerResult.LedgerFull.class);
    }

    @Test
    void entryExpiresAfterTheRetentionTimeAndNotBefore() {
        reserve("n1", 0);
        ledger.complete(KEY, "n1", 200, "a/b", new byte[100], 10);
        long expiryMs = 10 + OrderLedger.RETENTION_MS;

        assertThat(ledger.read(KEY, expiryMs - 1)).isInstanceOf(OrderLedgerResult.Done.class);
        assertThat(ledger.read(KEY, expiryMs)).isInstanceOf(OrderLedgerResult.NotFound.class);
        assertThat(reserve("n2", expiryMs)).isEqualTo(new OrderLedgerResult.Granted("n2"));
    }

    @Test
    void restoredLedgerReturnsTheSameResults() {
        reserve("n1", 0);
        ledger.release(KEY, "n1", 1);
        OrderLedger restored = new OrderLedger(2, 100);
        restored.restore(ledger.entries());

        assertThat(restored.reserve(KEY, "h", HOLDER, "n1", 2))
                .isInstanceOf(OrderLedgerResult.Released.class);
        assertThat(restored.size()).isEqualTo(1);
    }

    private OrderLedgerResult reserve(String nonce, long nowMs) {
        return ledger.reserve(KEY, "h", HOLDER, nonce, nowMs);
    }

    private static OrderKey key(String key) {
        return new OrderKey(AccountId.of("a"), "refill", key);
    }
}
