/**
 * Components shared by the programs at run time: settings, events, the log, the platform client, metrics and shared
 * state.
 */
package org.cranberrygauge.runtime;
