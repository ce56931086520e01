/** Fair queueing of requests of several client accounts for backend slots. */
package org.lycheetray.core.fair;
