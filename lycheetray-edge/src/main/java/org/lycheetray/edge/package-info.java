/** An entry VM whose backend servers register themselves: its parts put together, its start and its planned stop. */
package org.lycheetray.edge;
