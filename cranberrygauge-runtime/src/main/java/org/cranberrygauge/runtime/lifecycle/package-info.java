/** Start and planned stop of a process. */
package org.cranberrygauge.runtime.lifecycle;
