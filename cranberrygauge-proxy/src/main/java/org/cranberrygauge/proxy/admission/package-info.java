/** Admission control: which requests are accepted, rejected or queued. */
package org.cranberrygauge.proxy.admission;
