/**
 * The messages exchanged between the programs and with the platform: Thrift, log record codecs and client interfaces.
 */
package org.cranberrygauge.protocol;
