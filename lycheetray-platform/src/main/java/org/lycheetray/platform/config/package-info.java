/** Submits configurations to the platform and reads what is in force. */
package org.lycheetray.platform.config;
