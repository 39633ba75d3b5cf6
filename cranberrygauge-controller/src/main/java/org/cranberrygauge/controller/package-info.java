/** The program that, while it holds the lease, sends orders and usage reports to the platform. */
package org.cranberrygauge.controller;
