/** What the edge asks of the store that holds desired state, backend servers and VMs; implemented by adapters. */
package org.lycheetray.edge.store;
