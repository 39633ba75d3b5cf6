package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FieldLinesTest {

    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    private final FieldLines lines = new FieldLines();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "A b: 1",
                "A\tb: 1",
                "A : 1",
                "A\t: 1",
                " A: 1",
                "\tA: 1",
                " ",
                "A\u0000: 1",
                "A\u007f: 1",
                "A\u00e9: 1",
                ": 1",
                "A"
            })
    void aNameThatIsNoTokenOrDoesNotEndWithItsColonIsInvalid(String line) {
        assertThat(lines.areValid(bytes(STATUS_LINE + "Name: 1\r\n" + line + "\r\n")))
                .isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"A:", "A:1", "A: b c\td : e", "!#$%&'*+-.^_`|~09azAZ: 1"})
    void aTokenThatItsColonFollowsIsValid(String line) {
        assertThat(lines.areValid(bytes(STATUS_LINE + line + "\r\n\r\n"))).isTrue();
    }

    @Test
    void theBodyIsNotExamined() {
        assertThat(lines.areValid(bytes(STATUS_LINE + "Name: 1\r\n\r\n no field\r\n")))
                .isTrue();
        assertThat(lines.areValid(bytes(" no field\r\n"))).isTrue();
    }

    @Test
    void emptyLinesBeforeTheStatusLineDoNotEndTheHead() {
        assertThat(lines.areValid(bytes("\r\n\n" + STATUS_LINE + " no field\r\n")))
                .isFalse();
    }

    @Test
    void aLineIsExaminedOnceItIsWhole() {
        assertThat(lines.areValid(bytes(STATUS_LINE))).isTrue();
        assertThat(lines.areValid(bytes("A b"))).isTrue();
        assertThat(lines.areValid(bytes("A b: 1\n"))).isFalse();
    }

    @Test
    void nothingIsRead() {
        ByteBuf bytes = bytes(STATUS_LINE + "Name: 1\r\n\r\n");
        int readable = bytes.readableBytes();
        lines.areValid(bytes);
        assertThat(bytes.readableBytes()).isEqualTo(readable);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
