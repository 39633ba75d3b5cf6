/** The stand-in of an engine that runs language models. */
package org.cranberrygauge.emulator.engine;
