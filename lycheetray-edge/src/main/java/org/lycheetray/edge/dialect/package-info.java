/** Wire formats for callers, backend servers and look-ups; implemented by adapters. */
package org.lycheetray.edge.dialect;
