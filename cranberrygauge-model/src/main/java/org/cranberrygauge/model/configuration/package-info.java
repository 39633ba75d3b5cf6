/** The configuration and its parts. */
package org.cranberrygauge.model.configuration;
