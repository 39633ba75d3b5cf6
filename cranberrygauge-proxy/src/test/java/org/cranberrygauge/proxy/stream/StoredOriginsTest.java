package org.cranberrygauge.proxy.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class StoredOriginsTest {

    private static final StreamOrigin OLDER = new StreamOrigin("engines", "v1");

    private static final StreamOrigin NEWER = new StreamOrigin("engines", "v2");

    private static final StreamOrigin OTHER = new StreamOrigin("ledger", "v9");

    @Test
    void theOnlyOriginOfAPoolIsKnown() {
        StoredOrigins stored = new StoredOrigins(Map.of(OLDER, "a", OTHER, "b"), OptionalLong.of(4), 2);
        assertThat(stored.only("engines", 4, Set.of(OLDER, OTHER))).contains(OLDER);
        assertThat(stored.only("others", 4, Set.of())).isEmpty();
    }

    @Test
    void noOriginIsTheOnlyOneOfSeveral() {
        StoredOrigins stored = new StoredOrigins(Map.of(OLDER, "a", NEWER, "b"), OptionalLong.of(4), 2);
        assertThat(stored.only("engines", 4, Set.of(NEWER))).isEmpty();
    }

    @Test
    void anOriginThatIsListedAndNotStoredCountsAsAnotherOne() {
        StoredOrigins stored = new StoredOrigins(Map.of(OLDER, "a"), OptionalLong.of(4), 2);
        assertThat(stored.only("engines", 4, Set.of(NEWER))).isEmpty();
    }

    @Test
    void nothingIsKnownOfALogThatIsNotCompleteInItsEra() {
        assertThat(new StoredOrigins(Map.of(OLDER, "a"), OptionalLong.of(3), 2).only("engines", 4, Set.of()))
                .isEmpty();
        assertThat(new StoredOrigins(Map.of(OLDER, "a"), OptionalLong.empty(), 2).only("engines", 4, Set.of()))
                .isEmpty();
    }
}
