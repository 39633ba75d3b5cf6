/** Closing and reporting usage windows. */
package org.cranberrygauge.controller.usage;
