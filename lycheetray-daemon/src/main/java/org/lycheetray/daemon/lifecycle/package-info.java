/** Startup, graceful shutdown and resource clean-up of the daemon. */
package org.lycheetray.daemon.lifecycle;
