/** Parts of the membership state machine. */
package org.lycheetray.core.membership.internal;
