/** Registry of the backend servers that register themselves. */
package org.lycheetray.core.registry;
