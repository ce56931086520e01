/** Health of backend servers, and limits on the retries of failed requests. */
package org.lycheetray.core.health;
