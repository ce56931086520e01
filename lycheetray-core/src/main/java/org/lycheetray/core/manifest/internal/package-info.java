/** Implementation details of the manifest parser and serializer: typed access to JSON values, checks of names and
 * references, and one reader per section. */
package org.lycheetray.core.manifest.internal;
