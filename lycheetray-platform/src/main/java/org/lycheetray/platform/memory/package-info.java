/** Implementations in memory with the platform's semantics and with switches for its faults. */
package org.lycheetray.platform.memory;
