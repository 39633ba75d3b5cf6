/** The immutable sections that controllers read and write. */
package org.cranberrygauge.runtime.state;
