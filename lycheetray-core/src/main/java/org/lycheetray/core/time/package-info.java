/** Time as the decisions see it: always passed in. */
package org.lycheetray.core.time;
