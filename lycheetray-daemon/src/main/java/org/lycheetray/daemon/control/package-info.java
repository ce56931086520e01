/** The one thread that owns all control state. */
package org.lycheetray.daemon.control;
