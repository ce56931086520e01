/** The daemon {@code lycheetrayd}: its main class and the class that creates and owns all components. */
package org.lycheetray.daemon;
