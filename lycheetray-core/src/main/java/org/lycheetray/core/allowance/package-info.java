/** Shares of limits that hold for the whole fleet: retries, cold backend servers. */
package org.lycheetray.core.allowance;
