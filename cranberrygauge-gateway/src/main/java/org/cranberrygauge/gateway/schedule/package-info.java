/** The queue of requests and the state of the backend servers they are dispatched to. */
package org.cranberrygauge.gateway.schedule;
