package org.cranberrygauge.verification.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class FaultMatrixTest {

    private static final int SEEDS = 40;

    static Stream<Set<Mechanism>> offs() {
        return Stream.concat(
                Stream.of(EnumSet.of(Mechanism.RESERVATION, Mechanism.GATEWAY_MEMORY)),
                Stream.of(Mechanism.values())
                        .filter(mechanism -> mechanism != Mechanism.GATEWAY_MEMORY)
                        .map(EnumSet::of));
    }

    @ParameterizedTest
    @EnumSource(Protocol.class)
    void every_single_fault_at_every_step_preserves_all_invariants(Protocol protocol) {
        assertThat(descriptions(matrix(Cell.singles(), protocol, Set.of()))).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Protocol.class)
    void two_faults_in_one_run_preserve_all_invariants(Protocol protocol) {
        assertThat(descriptions(matrix(Cell.pairs(SEEDS), protocol, Set.of()))).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Protocol.class)
    void every_fault_is_injected_and_a_run_without_faults_passes(Protocol protocol) {
        FaultMatrix matrix = matrix(Cell.singles(), protocol, Set.of());

        assertThat(matrix.results()).allMatch(CellResult::reached);
        assertThat(matrix.results().get(0).cell().injections()).isEmpty();
        assertThat(matrix.results().get(0).findings()).allMatch(finding -> finding.outcome() == Finding.Outcome.PASSED);
    }

    @ParameterizedTest
    @MethodSource("offs")
    void the_matrix_detects_each_missing_mechanism(Set<Mechanism> off) {
        assertThat(FaultMatrix.run(Cell.singles(), off).failures()).isNotEmpty();
    }

    @Test
    void the_same_seed_gives_the_same_trace() {
        Cell cell = Cell.pairs(5).get(4);

        assertThat(cell.run(Set.of()).trace()).isEqualTo(cell.run(Set.of()).trace());
    }

    private static FaultMatrix matrix(List<Cell> cells, Protocol protocol, Set<Mechanism> off) {
        return FaultMatrix.run(
                cells.stream().filter(cell -> cell.protocol() == protocol).toList(), off);
    }

    private static List<String> descriptions(FaultMatrix matrix) {
        return matrix.failures().stream()
                .map(failure -> failure.cell() + " " + failure.findings() + "\n" + String.join("\n", failure.trace()))
                .toList();
    }
}
