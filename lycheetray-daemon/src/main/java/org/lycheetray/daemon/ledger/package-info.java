/** Writes the ledger of this process to the object store, asynchronously to the requests. */
package org.lycheetray.daemon.ledger;
