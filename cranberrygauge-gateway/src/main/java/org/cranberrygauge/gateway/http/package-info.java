/** The HTTP interface of callers and of operations. */
package org.cranberrygauge.gateway.http;
