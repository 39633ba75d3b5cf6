/** Cost against attainment of fleet planners, by a stepped clock. */
package org.cranberrygauge.verification.fleet;
