/**
 * Simulation of recorded traces on virtual time with the gateways' decision code, compared against baseline policies.
 */
package org.cranberrygauge.verification.policy;
