/** The replay of traces over real sockets, and its report. */
package org.cranberrygauge.emulator.replay;
