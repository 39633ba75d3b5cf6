/** Customers and the digests of their keys. */
package org.cranberrygauge.model.customer;
