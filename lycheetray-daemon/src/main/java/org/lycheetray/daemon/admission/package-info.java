/** Rate and burst of client accounts on this VM. */
package org.lycheetray.daemon.admission;
