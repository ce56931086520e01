/** Implementation details of request placement. */
package org.lycheetray.core.placement.internal;
