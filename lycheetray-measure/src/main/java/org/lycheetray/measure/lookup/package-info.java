/** Measures the table of client blocks and the ranking of entry VMs. */
package org.lycheetray.measure.lookup;
