/** Limits of what connections from outside hold: their number, and the memory of the heads that arrive on them. */
package org.lycheetray.daemon.limit;
