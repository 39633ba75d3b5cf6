/** Which requests are suspected to crash backend servers, and what they may still do. */
package org.cranberrygauge.decision.quarantine;
