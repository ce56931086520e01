/** Reports between the VMs of a fleet. */
package org.lycheetray.edge.fleet;
