/** Admission: keys of client accounts, and their fleet-wide rate and burst by base shares and loans between VMs. */
package org.lycheetray.core.admission;
