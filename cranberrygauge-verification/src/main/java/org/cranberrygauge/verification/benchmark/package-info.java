/** Benchmarks of the decision path and of the gateways over real sockets. */
package org.cranberrygauge.verification.benchmark;
