/** Membership and failure detection: which gateways are alive, and whether this one may admit requests. */
package org.cranberrygauge.decision.membership;
