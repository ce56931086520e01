/** The daemon lycheetrayd: its entry point and the object that owns everything it runs. */
package org.lycheetray.daemon;
