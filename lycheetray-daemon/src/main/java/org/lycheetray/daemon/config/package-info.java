/** Distribution of the configuration to this VM, and access to the configuration in force. */
package org.lycheetray.daemon.config;
