/** The segments' form in JSON. */
package org.lycheetray.core.ledger.internal;
