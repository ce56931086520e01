/** The desired state of a fleet whose backend servers register themselves: routes, services, client accounts, limits. */
package org.lycheetray.core.traffic;
