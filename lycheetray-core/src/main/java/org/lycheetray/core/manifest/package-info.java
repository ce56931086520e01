/** Reading, checking and writing manifests; the JSON shape stands in docs/MANIFEST.md. */
package org.lycheetray.core.manifest;
