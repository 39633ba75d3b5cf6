/** The questionnaire and the configuration that is generated from it. */
package org.cranberrygauge.operator.questionnaire;
