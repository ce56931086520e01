/** Interface to the store of configurations, backend servers and VMs, and the component that follows its changes. */
package org.lycheetray.edge.store;
