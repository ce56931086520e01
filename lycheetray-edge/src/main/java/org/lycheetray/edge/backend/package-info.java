/** HTTP client for backend servers. */
package org.lycheetray.edge.backend;
