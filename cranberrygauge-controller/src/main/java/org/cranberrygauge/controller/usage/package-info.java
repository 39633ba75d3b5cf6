/** Closing and reporting of usage windows. */
package org.cranberrygauge.controller.usage;
