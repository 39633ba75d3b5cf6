/** What the programs say to each other and to the platform: Thrift, codecs of log records and client interfaces. */
package org.cranberrygauge.protocol;
