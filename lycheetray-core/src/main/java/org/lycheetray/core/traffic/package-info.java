/**
 * Traffic configuration of a fleet with self-registering backend servers: routes, services, client accounts and limits.
 */
package org.lycheetray.core.traffic;
