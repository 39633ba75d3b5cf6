/** Components shared by the HTTP servers and clients of all programs. */
package org.cranberrygauge.runtime.http;
