/** The command line for operators. */
package org.cranberrygauge.operator;
