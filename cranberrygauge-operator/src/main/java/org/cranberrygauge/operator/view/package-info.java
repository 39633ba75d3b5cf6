/** Views of the running system for operators. */
package org.cranberrygauge.operator.view;
