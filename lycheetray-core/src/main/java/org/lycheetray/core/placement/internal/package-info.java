/** Inner parts of placement. */
package org.lycheetray.core.placement.internal;
