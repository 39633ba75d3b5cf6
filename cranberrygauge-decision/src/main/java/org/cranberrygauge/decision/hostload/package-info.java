/** The load of a host's own processor, and the requests that an overloaded host sheds. */
package org.cranberrygauge.decision.hostload;
