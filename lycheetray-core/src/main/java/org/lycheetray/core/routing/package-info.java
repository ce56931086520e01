/** Lookup of the route of a request by host and path. */
package org.lycheetray.core.routing;
