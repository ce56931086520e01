/** Entry VM whose backend servers register themselves: wiring of its components, start and planned stop. */
package org.lycheetray.edge;
