/** Log lines of requests, within a limit. */
package org.lycheetray.edge.log;
