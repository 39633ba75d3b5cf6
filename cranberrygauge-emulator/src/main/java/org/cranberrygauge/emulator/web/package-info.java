/** HTTP functions shared by the emulators. */
package org.cranberrygauge.emulator.web;
