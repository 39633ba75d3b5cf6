/** The checked exception type and its stable codes. */
package org.cranberrygauge.model.error;
