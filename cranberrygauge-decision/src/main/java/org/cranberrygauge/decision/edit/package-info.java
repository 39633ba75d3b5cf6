/** Edits of one part of a configuration. */
package org.cranberrygauge.decision.edit;
