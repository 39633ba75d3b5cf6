/** The commands of the command line. */
package org.cranberrygauge.operator.command;
