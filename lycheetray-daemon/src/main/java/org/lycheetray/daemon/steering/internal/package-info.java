/** Conversion between decisions and messages of the peer network. */
package org.lycheetray.daemon.steering.internal;
