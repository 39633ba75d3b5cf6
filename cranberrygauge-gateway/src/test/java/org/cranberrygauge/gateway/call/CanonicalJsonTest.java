package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CanonicalJsonTest {

    @Test
    void dependsNeitherOnTheOrderOfFieldsNorOnWhiteSpace() {
        assertThat(write("{\"a\": [1, {\"c\": null, \"b\": \"x\"}], \"d\": true}"))
                .isEqualTo(write("{\"d\":true,\"a\":[1,{\"b\":\"x\",\"c\":null}]}"));
    }

    @Test
    void dependsOnValuesAndOnTheOrderOfLists() {
        assertThat(write("{\"a\":[1,2]}")).isNotEqualTo(write("{\"a\":[2,1]}"));
        assertThat(write("{\"a\":\"1\"}")).isNotEqualTo(write("{\"a\":1}"));
    }

    @Test
    void excludesNamedFieldsOfTheTopLevelOnly() {
        assertThat(write("{\"stream\":true,\"a\":{\"stream\":1}}")).isEqualTo(write("{\"a\":{\"stream\":1}}"));
    }

    private static String write(String json) {
        return CanonicalJson.write(new JsonObject(json), Set.of("stream"));
    }
}
