/** TLS settings, and certificates that can be replaced while connections remain open. */
package org.cranberrygauge.runtime.tls;
