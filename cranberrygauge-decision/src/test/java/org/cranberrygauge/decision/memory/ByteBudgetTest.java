package org.cranberrygauge.decision.memory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against memory that is reserved above the limits, kept after its holder ended, or released twice. */
class ByteBudgetTest {

    private static final int HOLDERS = 4;

    private final ByteBudget budget = new ByteBudget(100, 60, 1_000);

    private final List<String> resumed = new ArrayList<>();

    @Property(seed = "7")
    void theTotalIsTheSumOfTheHoldersAndNothingIsLeftOnceAllHaveEnded(
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 999) Integer> steps) {
        ByteBudget fresh = new ByteBudget(100, 60, 1_000);
        List<Reservation> holders = new ArrayList<>();
        for (int holder = 0; holder < HOLDERS; holder++) {
            holders.add(fresh.open());
        }
        for (int step : steps) {
            Reservation holder = holders.get(step % HOLDERS);
            long bytes = step / 10;
            long before = holder.bytes();
            switch (step % 10) {
                case 0 -> holder.subtract(bytes);
                case 1 -> holder.close();
                case 2 -> holders.set(step % HOLDERS, replace(holder, fresh));
                default -> {
                    boolean added = holder.tryAdd(bytes);
                    assertThat(holder.bytes()).isEqualTo(added ? before + bytes : before);
                }
            }
            assertThat(holder.bytes()).isBetween(0L, 60L);
            assertThat(fresh.reservedBytes())
                    .isEqualTo(holders.stream().mapToLong(Reservation::bytes).sum())
                    .isLessThanOrEqualTo(100);
        }
        holders.forEach(Reservation::close);
        holders.forEach(Reservation::close);
        assertThat(fresh.reservedBytes()).isZero();
    }

    private static Reservation replace(Reservation old, ByteBudget budget) {
        old.close();
        return budget.open();
    }

    @Test
    void aHolderThatEndedReservesNothingWhenALateCallbackArrives() {
        Reservation holder = budget.open();
        holder.add(50);
        holder.close();
        holder.add(10);
        holder.subtract(20);
        assertThat(holder.tryAdd(1)).isFalse();
        assertThat(holder.pauses(() -> resumed.add("late"))).isFalse();
        assertThat(budget.reservedBytes()).isZero();
    }

    @Test
    void bytesThatWereNotReservedCannotBeReleased() {
        assertThat(budget.tryReserve(10)).isTrue();
        assertThatThrownBy(() -> budget.release(11)).isInstanceOf(IllegalArgumentException.class);
        assertThat(budget.reservedBytes()).isEqualTo(10);
    }

    @Test
    void sourcesPauseWhileTheBudgetIsExhaustedAndResumeInOrderOnceThereIsRoom() {
        Reservation first = budget.open();
        Reservation second = budget.open();
        Reservation third = budget.open();
        first.add(100);
        assertThat(first.pauses(() -> resumed.add("first"))).isFalse();
        second.add(10);
        assertThat(second.pauses(() -> resumed.add("second"))).isTrue();
        third.add(10);
        assertThat(third.pauses(() -> resumed.add("third"))).isTrue();
        assertThat(budget.hasWaiting()).isTrue();
        first.subtract(10);
        assertThat(resumed).isEmpty();
        first.subtract(20);
        assertThat(resumed).containsExactly("second", "third");
    }

    @Test
    void holdersThatWaitForEachOtherMakeProgressOneAfterTheOther() {
        Reservation first = budget.open();
        Reservation second = budget.open();
        Reservation third = budget.open();
        List.of(first, second, third).forEach(holder -> holder.add(200));
        assertThat(first.pauses(() -> resumed.add("first"))).isFalse();
        assertThat(second.pauses(() -> resumed.add("second"))).isTrue();
        assertThat(third.pauses(() -> resumed.add("third"))).isTrue();
        first.close();
        assertThat(resumed).containsExactly("second");
        assertThat(second.pauses(() -> resumed.add("again"))).isFalse();
        second.close();
        assertThat(resumed).containsExactly("second", "third");
    }

    /** Guards against an exempt holder after another that each fill memory which slow receivers do not free. */
    @Test
    void theExemptHolderPausesAtTheHeadroomUntilBytesAreReleased() {
        Reservation unread = budget.open();
        Reservation exempt = budget.open();
        unread.add(1_050);
        assertThat(exempt.pauses(() -> resumed.add("unused"))).isFalse();
        exempt.add(50);
        assertThat(exempt.pauses(() -> resumed.add("exempt"))).isTrue();
        unread.subtract(1);
        assertThat(resumed).containsExactly("exempt");
    }

    @Test
    void aHolderThatEndsWhilePausedIsNotResumed() {
        Reservation first = budget.open();
        Reservation second = budget.open();
        first.add(100);
        second.add(10);
        assertThat(first.pauses(() -> resumed.add("first"))).isFalse();
        assertThat(second.pauses(() -> resumed.add("second"))).isTrue();
        second.close();
        first.close();
        assertThat(resumed).isEmpty();
        assertThat(budget.hasWaiting()).isFalse();
    }

    @Test
    void aReceiverStallsOnlyWhileBytesWaitForIt() {
        WriteProgress progress = new WriteProgress();
        assertThat(progress.stalledMillis(5_000)).isZero();
        progress.recordQueued(5_000, 10);
        progress.recordQueued(5_500, 10);
        assertThat(progress.stalledMillis(6_000)).isEqualTo(1_000);
        progress.recordWritten(6_000, 10);
        assertThat(progress.stalledMillis(6_300)).isEqualTo(300);
        progress.recordWritten(6_400, 10);
        assertThat(progress.stalledMillis(9_000)).isZero();
    }
}
