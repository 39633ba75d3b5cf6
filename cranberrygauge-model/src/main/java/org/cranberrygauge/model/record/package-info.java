/** The records that the programs write to the append-only log. */
package org.cranberrygauge.model.record;
