/** Rows, conditional changes and results exchanged with the platform's table service. */
package org.lycheetray.core.table;
