/** Choice of entry VMs and backend servers on this VM. */
package org.lycheetray.daemon.steering;
