/** Replay of traces on a stepped clock with the deciding code of the gateways, and its comparison with baselines. */
package org.cranberrygauge.verification.policy;
