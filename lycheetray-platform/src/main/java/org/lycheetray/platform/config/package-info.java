/** Client for submitting configurations to the platform and reading them. */
package org.lycheetray.platform.config;
