/** Tiers, service classes and routes. */
package org.cranberrygauge.model.service;
