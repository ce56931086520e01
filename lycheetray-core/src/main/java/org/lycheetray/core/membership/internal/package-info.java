/** Implementation classes of the membership and the lead lease. */
package org.lycheetray.core.membership.internal;
