/** What the HTTP servers of all programs share. */
package org.cranberrygauge.runtime.http;
