/** Start, planned stop and clean-up of the daemon. */
package org.lycheetray.daemon.lifecycle;
