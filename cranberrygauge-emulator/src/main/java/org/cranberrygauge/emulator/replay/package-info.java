/** Generation and replay of traces. */
package org.cranberrygauge.emulator.replay;
