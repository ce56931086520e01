/** The backend servers' stand-in: all backend servers of a manifest in one process, a port each, with faults. */
package org.lycheetray.standin.backend;
