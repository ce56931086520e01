/** Parts of the manifest parser: typed access to JSON values, names and references, one class per section. */
package org.lycheetray.core.manifest.internal;
