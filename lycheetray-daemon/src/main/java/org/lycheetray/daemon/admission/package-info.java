/** Fleet-wide rate limits of client accounts, kept by loans of rate between VMs. */
package org.lycheetray.daemon.admission;
