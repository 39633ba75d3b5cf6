/** The controller process, which holds a lease while it orders backend servers and reports usage to the platform. */
package org.cranberrygauge.controller;
