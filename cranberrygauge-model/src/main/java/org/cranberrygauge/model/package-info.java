/** The records of the domain: plain immutable data without input, output or decisions. */
package org.cranberrygauge.model;
