/** What an operator may ask a running VM. */
package org.lycheetray.daemon.status;
