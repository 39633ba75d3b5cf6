/** Emulation of a service other than a model engine. */
package org.cranberrygauge.emulator.service;
