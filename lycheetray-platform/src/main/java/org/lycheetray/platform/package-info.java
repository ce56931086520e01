/**
 * The platform's table service, object store and list of VMs as the rest of the system sees them.
 *
 * <p>{@link org.lycheetray.platform.PlatformClient} reaches a platform over HTTP; package {@code memory} holds
 * implementations with the same semantics for stand-ins and tests.
 */
package org.lycheetray.platform;
