/** Benchmarks of dispatch decisions, and of gateways over real sockets. */
package org.cranberrygauge.verification.benchmark;
