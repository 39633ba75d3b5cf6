/** What the stand-ins share of HTTP. */
package org.cranberrygauge.emulator.web;
