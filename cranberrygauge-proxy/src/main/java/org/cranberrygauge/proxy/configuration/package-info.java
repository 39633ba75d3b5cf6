/** The operator's configuration: routes, pools of backend servers, customers and limits for callers. */
package org.cranberrygauge.proxy.configuration;
