/** JSON representation of ledger segments. */
package org.lycheetray.core.ledger.internal;
