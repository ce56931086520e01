/** The configuration in force on this VM. */
package org.lycheetray.daemon.config;
