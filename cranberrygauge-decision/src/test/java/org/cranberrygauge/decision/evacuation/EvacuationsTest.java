package org.cranberrygauge.decision.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests to an evacuated data centre, and against one that is never used again. */
class EvacuationsTest {

    private final Evacuations evacuations = new Evacuations();

    @Test
    void aDataCentreIsEvacuatedUntilItsRecordIsRemoved() {
        evacuations.start("a");
        evacuations.start("b");
        evacuations.end("a");
        assertThat(evacuations.current(1_000)).containsExactly("b");
    }

    @Test
    void aCompleteListEndsTheEvacuationsThatItLacks() {
        evacuations.start("a");
        evacuations.replace(1_000, Set.of("b"));
        assertThat(evacuations.current(1_000)).containsExactly("b");
    }

    @Test
    void anOlderCopyOfTheStoreEndsNoEvacuationBeforeItIsWrittenAgain() {
        evacuations.start("a");
        evacuations.recordRollback(1_000);
        evacuations.replace(1_100, Set.of());
        assertThat(evacuations.current(5_999)).containsExactly("a");
        evacuations.start("a");
        assertThat(evacuations.current(20_000)).containsExactly("a");
    }

    @Test
    void anEvacuationThatIsNotWrittenAgainEnds() {
        evacuations.start("a");
        evacuations.recordRollback(1_000);
        evacuations.replace(1_100, Set.of());
        assertThat(evacuations.current(6_000)).isEmpty();
    }

    @Test
    void allDataCentresCanBeEvacuated() {
        evacuations.replace(1_000, Set.of("a", "b", "c"));
        assertThat(evacuations.current(1_000)).containsExactlyInAnyOrder("a", "b", "c");
    }
}
