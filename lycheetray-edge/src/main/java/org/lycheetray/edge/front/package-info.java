/** Connections of callers. */
package org.lycheetray.edge.front;
