/** Stand-ins for the systems around the product, and the replay of traces against it. */
package org.cranberrygauge.emulator;
