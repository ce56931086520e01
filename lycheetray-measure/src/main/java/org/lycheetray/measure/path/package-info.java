/** What an entry VM adds to a direct call. */
package org.lycheetray.measure.path;
