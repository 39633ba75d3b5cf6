/** Snapshots of the state derived from the log, so that a reader needs no entry older than the log's retention. */
package org.cranberrygauge.decision.snapshot;
