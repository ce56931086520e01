/** The platform's stand-in: tables, objects and the list of VMs in one HTTP server, with faults and budgets. */
package org.lycheetray.standin.platform;
