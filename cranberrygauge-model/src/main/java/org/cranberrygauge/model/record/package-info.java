/** The records that are written to the append-only log. */
package org.cranberrygauge.model.record;
