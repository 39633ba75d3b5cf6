package org.cranberrygauge.verification.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class LinearFitTest {

    @Test
    void points_on_a_line_give_the_line_without_residual() {
        LinearFit fit = LinearFit.of(List.of(new Sample(1, 5), new Sample(2, 7), new Sample(4, 11)));
        assertThat(fit.intercept()).isCloseTo(3, within(1e-9));
        assertThat(fit.slope()).isCloseTo(2, within(1e-9));
        assertThat(fit.determination()).isCloseTo(1, within(1e-9));
        assertThat(fit.largestResidual()).isCloseTo(0, within(1e-9));
    }

    @Test
    void a_point_beside_the_line_shows_as_residual() {
        LinearFit fit = LinearFit.of(List.of(new Sample(0, 0), new Sample(1, 3), new Sample(2, 0)));
        assertThat(fit.slope()).isCloseTo(0, within(1e-9));
        assertThat(fit.largestResidual()).isCloseTo(2, within(1e-9));
    }

    @Test
    void points_at_one_size_give_no_line() {
        assertThatThrownBy(() -> LinearFit.of(List.of(new Sample(1, 1), new Sample(1, 2))))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void a_size_outside_the_measured_sizes_is_extrapolated() {
        Slope slope = Slope.of("a", "b", "c", List.of(new Sample(4, 1), new Sample(64, 2)));
        assertThat(slope.isExtrapolated(330)).isTrue();
        assertThat(slope.isExtrapolated(64)).isFalse();
    }
}
