/** Which backend server gets a request, which requests wait and which are refused. */
package org.lycheetray.core.placement;
