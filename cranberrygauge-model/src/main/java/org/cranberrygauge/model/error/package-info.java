/** Checked exceptions with stable codes. */
package org.cranberrygauge.model.error;
