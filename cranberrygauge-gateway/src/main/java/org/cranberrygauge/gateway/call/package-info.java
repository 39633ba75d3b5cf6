/** Request execution, from admission to the response of the backend server. */
package org.cranberrygauge.gateway.call;
