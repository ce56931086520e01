/** Reading, validation and writing of manifests. docs/MANIFEST.md describes the JSON format. */
package org.lycheetray.core.manifest;
