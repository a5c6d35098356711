package io.sapphirestack.core.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against large messages or one account that hold all memory, and against bytes that are not
 * returned, after which all callers would be refused.
 */
class ByteBudgetTests {

    private final ByteBudget budget = new ByteBudget(1_000, 0.4);

    @Test
    void largeMessagesLeaveHalfOfTheBudgetToSmallOnes() {
        try (ByteBudget.Lease large = budget.newLease();
                ByteBudget.Lease small = budget.newLease()) {
            assertThat(large.tryReserveLarge(500)).isTrue();
            assertThat(large.tryReserveLarge(1)).isFalse();
            assertThat(small.tryReserve(500)).isTrue();
            assertThat(small.tryReserve(1)).isFalse();
        }
        assertThat(budget.reservedBytes()).isZero();
        assertThat(budget.failedReservations()).isEqualTo(2);
    }

    @Test
    void accountHoldsItsPartAtMostAndReturnsItWithEachLease() {
        try (ByteBudget.Lease first = budget.newLease();
                ByteBudget.Lease second = budget.newLease();
                ByteBudget.Lease other = budget.newLease()) {
            assertThat(first.tryReserve(100)).isTrue();
            assertThat(first.assignTo("a")).isTrue();
            assertThat(first.tryReserve(300)).isTrue();
            assertThat(first.tryReserve(1)).isFalse();
            assertThat(second.tryReserve(1)).isTrue();
            assertThat(second.assignTo("a")).isFalse();
            assertThat(other.assignTo("b")).isTrue();
            assertThat(other.tryReserve(400)).isTrue();
            assertThat(budget.reservedBytes()).isEqualTo(801);
            first.close();
            assertThat(second.assignTo("a")).isTrue();
            assertThat(second.tryReserve(399)).isTrue();
        }
        assertThat(budget.reservedBytes()).isZero();
        try (ByteBudget.Lease again = budget.newLease()) {
            assertThat(again.assignTo("a")).isTrue();
            assertThat(again.tryReserve(400)).isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, -1, 1.1, Double.NaN})
    void fractionOutsideItsRangeIsRejected(double fraction) {
        assertThatThrownBy(() -> new ByteBudget(1, fraction))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
