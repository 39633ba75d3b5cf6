/** Emulation of a model engine with continuous batching. */
package org.cranberrygauge.emulator.engine;
