/** The controllers that keep the host's state up to date and do the leader's work. */
package org.cranberrygauge.proxy.control;
