/** The single thread that owns all control state. */
package org.lycheetray.daemon.control;
