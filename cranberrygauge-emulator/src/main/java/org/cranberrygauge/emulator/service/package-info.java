/** The stand-in of a plain service. */
package org.cranberrygauge.emulator.service;
