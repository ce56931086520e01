/** Authenticated request-reply messaging between entry VMs over TCP. */
package org.lycheetray.daemon.peer;
