/** Implementation details of the configuration state machines. */
package org.lycheetray.core.config.internal;
