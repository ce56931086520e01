/** In-memory implementations with the platform's semantics and with fault injection. */
package org.lycheetray.platform.memory;
