/** Open-loop load over HTTP for measurements on real processes. */
package org.lycheetray.measure.load;
