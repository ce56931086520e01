/** HTTP/1.1 and HTTP/2 interface for callers and operators, built on Reactor Netty. */
package org.lycheetray.daemon.http;
