/** Inner parts of the fleet's quotas. */
package org.lycheetray.core.quota.internal;
