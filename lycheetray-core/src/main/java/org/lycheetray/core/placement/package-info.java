/** Selection of the backend server for each request, and holding or refusal of requests without capacity. */
package org.lycheetray.core.placement;
