/** Parts of admission that other packages do not use. */
package org.lycheetray.core.admission.internal;
