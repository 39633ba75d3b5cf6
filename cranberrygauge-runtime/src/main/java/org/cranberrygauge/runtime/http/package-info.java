/** Components shared by the HTTP servers of all programs. */
package org.cranberrygauge.runtime.http;
