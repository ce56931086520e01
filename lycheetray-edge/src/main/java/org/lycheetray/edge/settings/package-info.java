/** Settings of an entry VM and their validation. */
package org.lycheetray.edge.settings;
