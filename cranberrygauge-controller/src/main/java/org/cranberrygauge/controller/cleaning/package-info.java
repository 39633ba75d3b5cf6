/** Carries out the weekly cleaning of backend servers. */
package org.cranberrygauge.controller.cleaning;
