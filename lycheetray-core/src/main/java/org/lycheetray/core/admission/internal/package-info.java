/** Implementation classes of the admission package. */
package org.lycheetray.core.admission.internal;
