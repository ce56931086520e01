/** Implementation of the detection of requests that crash backend servers. */
package org.lycheetray.core.suspect.internal;
