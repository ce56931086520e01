/** Implementation classes of the quota package. */
package org.lycheetray.core.quota.internal;
