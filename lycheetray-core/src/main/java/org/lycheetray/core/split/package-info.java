/** Shares a route's requests among several services by weight. */
package org.lycheetray.core.split;
