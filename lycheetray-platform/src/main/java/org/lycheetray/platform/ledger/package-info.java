/** Reads the ledger from the object store. */
package org.lycheetray.platform.ledger;
