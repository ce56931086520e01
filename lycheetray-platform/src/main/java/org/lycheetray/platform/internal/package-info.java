/** HTTP adapters; use {@link org.lycheetray.platform.PlatformClient}. */
package org.lycheetray.platform.internal;
