/** What callers and operators see: HTTP/1.1 and HTTP/2 by Reactor Netty. */
package org.lycheetray.daemon.http;
