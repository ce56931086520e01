/** Immutable values of the domain model: the elements of a manifest and the names of parts of the fleet. */
package org.lycheetray.core.model;
