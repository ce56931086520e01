/** Discrete-event runs of the routing decisions against other policies. */
package org.lycheetray.measure.routing;
