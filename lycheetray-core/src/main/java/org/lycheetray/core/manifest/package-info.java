/** Reading, checking and writing manifests. */
package org.lycheetray.core.manifest;
