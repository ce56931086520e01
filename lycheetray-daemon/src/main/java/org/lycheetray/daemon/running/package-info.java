/** Claims, attempts and their outcomes on this VM. */
package org.lycheetray.daemon.running;
