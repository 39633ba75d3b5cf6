/** Which requests are taken. */
package org.cranberrygauge.proxy.admission;
