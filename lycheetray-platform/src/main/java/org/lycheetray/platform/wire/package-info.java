/** The platform's HTTP interface: paths, headers and JSON bodies, shared by the client and the stand-in platform. */
package org.lycheetray.platform.wire;
