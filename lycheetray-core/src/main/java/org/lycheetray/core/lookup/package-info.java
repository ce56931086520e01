/** Selection of the entry VMs that a caller should use, by its address and client account. */
package org.lycheetray.core.lookup;
