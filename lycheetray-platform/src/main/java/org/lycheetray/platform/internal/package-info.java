/** HTTP implementations of the platform interfaces; created through {@link org.lycheetray.platform.PlatformClient}. */
package org.lycheetray.platform.internal;
