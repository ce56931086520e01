/**
 * The platform's table service, object store and VM list, as interfaces for the other modules.
 *
 * <p>{@link org.lycheetray.platform.PlatformClient} provides implementations over HTTP; package {@code memory} holds
 * implementations with the same semantics for stand-ins and tests.
 */
package org.lycheetray.platform;
