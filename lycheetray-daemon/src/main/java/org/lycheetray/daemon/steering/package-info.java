/** Selection of entry VMs and backend servers, with the fleet membership that it depends on. */
package org.lycheetray.daemon.steering;
