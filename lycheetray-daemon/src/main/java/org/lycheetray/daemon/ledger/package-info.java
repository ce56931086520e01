/** Writes the ledger of this process to the object store beside the traffic. */
package org.lycheetray.daemon.ledger;
