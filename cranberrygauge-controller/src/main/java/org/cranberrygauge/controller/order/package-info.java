/** Orders to the platform, each with its intent in the log. */
package org.cranberrygauge.controller.order;
