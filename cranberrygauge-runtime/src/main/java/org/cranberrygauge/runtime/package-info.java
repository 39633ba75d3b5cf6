/** What the programs share at run time: settings, events, the log, the platform client, metrics and the blackboard. */
package org.cranberrygauge.runtime;
