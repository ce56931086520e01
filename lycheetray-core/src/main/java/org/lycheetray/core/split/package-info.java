/** Weighted distribution of the requests of a route over several services. */
package org.lycheetray.core.split;
