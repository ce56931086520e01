/** How a VM learns configurations: from the table service and from its peers. */
package org.lycheetray.daemon.config.internal;
