/** Wall-clock and monotonic time, always passed in so that tests can control it. */
package org.lycheetray.core.time;
