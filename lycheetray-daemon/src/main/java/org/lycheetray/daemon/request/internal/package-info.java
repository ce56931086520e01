/** The pipeline's own parts. */
package org.lycheetray.daemon.request.internal;
