/** Failures caused on real daemons over loopback, and the checked history of their callers. */
package org.lycheetray.measure.failures;
