/** Fault schedules over the decisions of running at most once, and the checker of their histories. */
package org.lycheetray.measure.once;
