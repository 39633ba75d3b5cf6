/** What operators see of the running system. */
package org.cranberrygauge.operator.view;
