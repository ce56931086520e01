/** Discovery of the entry VMs of a fleet whose members are not listed in the configuration. */
package org.lycheetray.core.fleet;
