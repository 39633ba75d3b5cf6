/** The commands. */
package org.cranberrygauge.operator.command;
