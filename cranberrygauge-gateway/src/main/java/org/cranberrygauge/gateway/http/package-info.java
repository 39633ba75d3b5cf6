/** The HTTP interfaces for callers and for operations. */
package org.cranberrygauge.gateway.http;
