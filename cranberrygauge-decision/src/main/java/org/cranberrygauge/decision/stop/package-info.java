/** What a host still begins once it has received its stop signal. */
package org.cranberrygauge.decision.stop;
