/** The weekly emptying of backend servers, one after another and without cutting a request. */
package org.cranberrygauge.decision.cleaning;
