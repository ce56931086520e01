/** Status report of a running VM for operators. */
package org.lycheetray.daemon.status;
