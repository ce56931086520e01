/** Running a request at most once, and saying truthfully what became of it. */
package org.lycheetray.core.once;
