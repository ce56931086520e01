/** Request handlers of the HTTP frontend. */
package org.lycheetray.daemon.http.internal;
