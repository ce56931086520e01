/** Implementation classes of the request pipeline. */
package org.lycheetray.daemon.request.internal;
