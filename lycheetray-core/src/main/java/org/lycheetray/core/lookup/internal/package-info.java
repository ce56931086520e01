/** Parts of the table of client blocks. */
package org.lycheetray.core.lookup.internal;
