/** Settings of the daemon: flags and environment variables, checked as a whole. */
package org.lycheetray.daemon.settings;
