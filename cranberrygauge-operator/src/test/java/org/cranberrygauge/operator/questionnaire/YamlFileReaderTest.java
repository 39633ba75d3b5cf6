package org.cranberrygauge.operator.questionnaire;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class YamlFileReaderTest {

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    deployment: a\\ncustomers:\\n- {name: b, weight: x, classes: []} | file:3: customers[0].weight: "x" is not allowed; allowed is a whole number
                    deployment: a\\ncustomers:\\n- {name: b, classes: []} | file:3: customers[0].weight: is missing; allowed is a whole number
                    deployment: a\\nfleet:\\n- {supply: FREE} | file:3: fleet[0].supply: "FREE" is not allowed; allowed is REGULAR, CHEAP
                    deployments: a | file:1: deployments: unknown field; allowed are classes, cleaning, customers
                    """)
    void an_error_names_file_line_field_and_allowed_values(String text, String expected) {
        assertThatThrownBy(() -> YamlFileReader.read("file", text.replace("\\n", "\n"), Questionnaire.class))
                .hasMessageContaining(expected);
    }

    @Test
    void an_empty_file_is_rejected() {
        assertThatThrownBy(() -> YamlFileReader.read("file", "", Questionnaire.class))
                .hasMessageContaining("file");
    }
}
