/** The state shared by the components of a process. */
package org.cranberrygauge.runtime.state;
