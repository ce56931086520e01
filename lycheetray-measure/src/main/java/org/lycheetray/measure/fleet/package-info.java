/** A whole deployment in one process, for measurements on real daemons. */
package org.lycheetray.measure.fleet;
