/** Settings of an edge. */
package org.lycheetray.edge.settings;
