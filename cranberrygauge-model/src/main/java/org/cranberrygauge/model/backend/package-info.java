/** Backend servers, the places they run in and their supply. */
package org.cranberrygauge.model.backend;
