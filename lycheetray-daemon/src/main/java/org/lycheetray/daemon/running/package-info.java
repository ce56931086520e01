/** Execution safeguards of this VM: claims, server health, retry budget and quarantine of poison requests. */
package org.lycheetray.daemon.running;
