/** HTTP listeners for callers, readiness checks, look-ups and metrics. */
package org.lycheetray.edge.front;
