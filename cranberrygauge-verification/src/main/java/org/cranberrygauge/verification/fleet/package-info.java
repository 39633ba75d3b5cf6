/** Simulation of fleet planners on virtual time: cost against attainment. */
package org.cranberrygauge.verification.fleet;
