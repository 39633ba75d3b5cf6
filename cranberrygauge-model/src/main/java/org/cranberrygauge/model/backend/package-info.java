/** Backend servers, the data centres and hosts that they run in, and the kinds of capacity. */
package org.cranberrygauge.model.backend;
