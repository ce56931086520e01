/** Settings of the daemon, read from flags and environment variables and validated together. */
package org.lycheetray.daemon.settings;
