/** Backend servers that register themselves: which of them exist now and may get new requests. */
package org.lycheetray.core.registry;
