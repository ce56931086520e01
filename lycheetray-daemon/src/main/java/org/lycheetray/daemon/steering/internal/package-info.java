/** Conversion between core types and messages of the peer network. */
package org.lycheetray.daemon.steering.internal;
