/** The configuration that operators accept and the changes that lead to it. */
package org.cranberrygauge.model.configuration;
