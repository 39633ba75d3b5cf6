/** The weekly cleaning of backend servers, which are drained one after another without cutting a request. */
package org.cranberrygauge.decision.cleaning;
