/** One request from its head to its answer. */
package org.lycheetray.edge.exchange;
