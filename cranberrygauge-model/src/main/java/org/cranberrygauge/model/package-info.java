/** The domain model: immutable data without input, output or decisions. */
package org.cranberrygauge.model;
