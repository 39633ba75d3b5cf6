/** Settings from flags and environment variables. */
package org.cranberrygauge.runtime.setting;
