/** Which backend servers the local VM reaches on its own paths, and which other VM may send to them in its place. */
package org.lycheetray.core.reach;
