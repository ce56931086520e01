/** Measures admission: over-admission, wrongful refusals and fairness, against the naive static split. */
package org.lycheetray.measure.admission;
