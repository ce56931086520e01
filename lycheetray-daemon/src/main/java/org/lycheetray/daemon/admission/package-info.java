/** Client accounts' rate and burst over the fleet: loans between VMs on the request path. */
package org.lycheetray.daemon.admission;
