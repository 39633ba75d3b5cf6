/** TLS by settings, with certificates that can be replaced while connections stay open. */
package org.cranberrygauge.runtime.tls;
