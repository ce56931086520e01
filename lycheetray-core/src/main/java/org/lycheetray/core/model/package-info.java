/** What operators declare and how parts of the fleet are named: immutable values without behaviour. */
package org.lycheetray.core.model;
