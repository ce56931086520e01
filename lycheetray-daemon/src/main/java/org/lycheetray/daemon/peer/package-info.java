/** Authenticated request and reply between entry VMs over TCP. */
package org.lycheetray.daemon.peer;
