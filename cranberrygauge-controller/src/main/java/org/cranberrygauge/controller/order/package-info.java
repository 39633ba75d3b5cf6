/** Orders to the platform, each preceded by its intent in the log. */
package org.cranberrygauge.controller.order;
