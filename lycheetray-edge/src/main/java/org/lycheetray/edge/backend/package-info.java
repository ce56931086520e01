/** Connections to backend servers. */
package org.lycheetray.edge.backend;
