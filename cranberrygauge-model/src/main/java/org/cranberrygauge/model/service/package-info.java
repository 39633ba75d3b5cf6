/** Service classes and routes. */
package org.cranberrygauge.model.service;
