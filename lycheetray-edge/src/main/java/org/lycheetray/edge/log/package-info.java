/** Rate-limited request log. */
package org.lycheetray.edge.log;
