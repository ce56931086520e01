/** Handles requests from the arrival of the head to the reply. */
package org.lycheetray.edge.exchange;
