/** The questionnaire and the generation of a configuration from it. */
package org.cranberrygauge.operator.questionnaire;
