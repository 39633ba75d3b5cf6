package org.cranberrygauge.runtime.setting;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsParserTest {

    private static final String[] COMPLETE = {
        "--host-name", "host-1", "--data-centre", "east-a", "--platform-address", "127.0.0.1:9"
    };

    @Test
    void readsFlagsBeforeEnvironmentVariables() throws SettingException {
        ProcessSettings settings = new ProcessSettings();
        new SettingsParser("program", Map.of("CRANBERRYGAUGE_HOST_NAME", "other")).parse(settings, COMPLETE);

        assertThat(settings.hostName()).isEqualTo("host-1");
        assertThat(settings.platformAddress().port()).isEqualTo(9);
    }

    @Test
    void readsEnvironmentVariablesWhereFlagsAreMissing() throws SettingException {
        ProcessSettings settings = new ProcessSettings();
        Map<String, String> environment = Map.of(
                "CRANBERRYGAUGE_HOST_NAME", "host-2",
                "CRANBERRYGAUGE_DATA_CENTRE", "east-b",
                "CRANBERRYGAUGE_PLATFORM_ADDRESS", "127.0.0.1:10");
        new SettingsParser("program", environment).parse(settings);

        assertThat(settings.hostName()).isEqualTo("host-2");
        assertThat(settings.platformAddress().port()).isEqualTo(10);
    }

    @Test
    void namesAMissingSetting() {
        assertThatThrownBy(
                        () -> new SettingsParser("program", Map.of()).parse(new ProcessSettings(), "--host-name", "h"))
                .isInstanceOf(SettingException.class)
                .hasMessageContaining("--data-centre")
                .hasMessageNotContaining("\n");
    }

    @Test
    void namesTheSettingTheValueAndWhatIsAllowed() {
        assertThatThrownBy(() -> new SettingsParser("program", Map.of())
                        .parse(new ProcessSettings(), "--platform-timeout-millis", "soon"))
                .isInstanceOf(SettingException.class)
                .hasMessageContaining("--platform-timeout-millis is \"soon\"; allowed is a whole number above 0");
    }
}
