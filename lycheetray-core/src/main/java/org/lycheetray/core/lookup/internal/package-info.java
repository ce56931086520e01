/** Longest-prefix-match table used by the client block table. */
package org.lycheetray.core.lookup.internal;
