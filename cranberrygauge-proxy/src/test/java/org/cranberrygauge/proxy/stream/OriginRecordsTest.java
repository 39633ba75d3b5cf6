package org.cranberrygauge.proxy.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class OriginRecordsTest {

    private static final StreamOrigin OLDER = new StreamOrigin("engines", "v1");

    private static final StreamOrigin NEWER = new StreamOrigin("engines", "v2");

    private final OriginRecords records = new OriginRecords(0);

    @Test
    void streamsBeginAtAnOriginOnceItIsStored() {
        records.recordListed(1_000, Set.of(OLDER));
        assertThat(records.missing()).containsExactly(OLDER);
        assertThat(records.permitted(1_001)).isEmpty();
        records.recordStored(OLDER);
        assertThat(records.missing()).isEmpty();
        assertThat(records.permitted(1_002)).containsExactly(OLDER);
    }

    @Test
    void streamsBeginAtAnOriginThatCouldNotBeStoredForTwoSeconds() {
        records.recordListed(1_000, Set.of(OLDER));
        assertThat(records.permitted(2_999)).isEmpty();
        assertThat(records.permitted(3_000)).containsExactly(OLDER);
        assertThat(records.missing()).containsExactly(OLDER);
    }

    @Test
    void anOriginThatIsListedAgainIsStoredAgain() {
        records.recordListed(0, Set.of(OLDER));
        records.recordStored(OLDER);
        records.recordListed(100, Set.of());
        records.recordStored(OLDER);
        records.recordListed(200, Set.of(OLDER));
        assertThat(records.missing()).containsExactly(OLDER);
    }

    @Test
    void allOriginsAreStoredAgainAfterTheLogHasLostRecords() {
        records.recordListed(0, Set.of(OLDER));
        records.recordStored(OLDER);
        records.recordLoss(500);
        assertThat(records.missing()).containsExactly(OLDER);
        assertThat(records.isComplete(60_499)).isFalse();
        assertThat(records.isComplete(60_500)).isTrue();
    }

    @Test
    void anOriginIsRemovableOnceItIsUnlistedAndUnchangedForAsLongAsStreamsAreResumed() {
        records.recordListed(0, Set.of(OLDER, NEWER));
        records.recordListed(1_000, Set.of(NEWER));
        records.recordRead(1_000, stored("a"));
        assertThat(records.removable(60_999)).isEmpty();
        assertThat(records.removable(61_000)).containsExactly(OLDER);
        records.recordRead(61_000, stored("b"));
        assertThat(records.removable(61_000)).isEmpty();
        assertThat(records.removable(121_000)).containsExactly(OLDER);
    }

    @Test
    void anOriginOfAnEarlierProcessIsRemovableToo() {
        records.recordRead(500, stored("a"));
        assertThat(records.removable(60_500)).containsExactly(OLDER);
        records.recordRead(60_500, new StoredOrigins(Map.of(), OptionalLong.empty(), 3));
        assertThat(records.removable(60_500)).isEmpty();
    }

    private static StoredOrigins stored(String record) {
        return new StoredOrigins(Map.of(OLDER, record), OptionalLong.of(1), 2);
    }
}
