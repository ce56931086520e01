/** Fair sharing of contended slots between client accounts. */
package org.lycheetray.core.fair;
