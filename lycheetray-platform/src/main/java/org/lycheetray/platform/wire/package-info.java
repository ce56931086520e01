/** The platform's HTTP interface: paths, headers and JSON bodies, shared by the adapters and the stand-in. */
package org.lycheetray.platform.wire;
