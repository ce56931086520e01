/** This VM's part of limits for the whole fleet: retries, and requests to cold backend servers. */
package org.lycheetray.core.allowance;
