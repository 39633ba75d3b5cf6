/** The command line of operators. */
package org.cranberrygauge.operator;
