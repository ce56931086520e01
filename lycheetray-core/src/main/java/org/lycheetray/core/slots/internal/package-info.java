/** Implementation classes of the slot owner. */
package org.lycheetray.core.slots.internal;
