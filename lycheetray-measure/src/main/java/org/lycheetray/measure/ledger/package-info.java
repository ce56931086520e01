/** Cost and completeness of the ledger. */
package org.lycheetray.measure.ledger;
