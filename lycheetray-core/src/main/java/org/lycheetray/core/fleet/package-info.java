/** The entry VMs of a fleet without a declared list: who they are, and whom callers may be sent to. */
package org.lycheetray.core.fleet;
