/**
 * Programs that take the place of the platform, the backend servers and the callers in trials.
 *
 * <p>Nothing here is meant for production; the daemon knows nothing of these programs.
 */
package org.lycheetray.standin;
