/** Registration of this VM in the fleet, and load reports between VMs. */
package org.lycheetray.edge.fleet;
