/** Emulators of the platform, of engines and of services, and the replay of traces. */
package org.cranberrygauge.emulator;
