/** Which backend servers can be used, and how often a failed request may be tried again. */
package org.lycheetray.core.health;
