/** The blackboard of a process: the state that its components publish and read. */
package org.cranberrygauge.runtime.blackboard;
