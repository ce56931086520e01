/** From a request's host and path to its route. */
package org.lycheetray.core.routing;
