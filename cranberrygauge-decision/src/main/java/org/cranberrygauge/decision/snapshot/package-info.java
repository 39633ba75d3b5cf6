/** Snapshots of what follows from the log, so that a reader needs no entry older than the log keeps. */
package org.cranberrygauge.decision.snapshot;
