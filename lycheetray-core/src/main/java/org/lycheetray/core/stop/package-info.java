/** Timing of a planned stop, and which requests can still be answered before it ends. */
package org.lycheetray.core.stop;
