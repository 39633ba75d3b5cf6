/** Carrying out the weekly cleaning. */
package org.cranberrygauge.controller.cleaning;
