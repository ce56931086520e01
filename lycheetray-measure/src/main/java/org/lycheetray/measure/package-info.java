/** Measurements that print figures and compare them with their stated bounds. */
package org.lycheetray.measure;
