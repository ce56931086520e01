/** How callers, backend servers and look-ups are spoken to; implemented by adapters. */
package org.lycheetray.edge.dialect;
