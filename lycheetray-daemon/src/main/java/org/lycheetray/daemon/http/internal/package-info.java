/** Parts of the HTTP front. */
package org.lycheetray.daemon.http.internal;
