/** The controllers that keep what a host believes up to date and do what one host does for all. */
package org.cranberrygauge.proxy.control;
