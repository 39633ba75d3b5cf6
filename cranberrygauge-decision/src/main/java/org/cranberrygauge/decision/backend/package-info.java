/** What backend servers state of themselves in their responses, and what this means for the next request to them. */
package org.cranberrygauge.decision.backend;
