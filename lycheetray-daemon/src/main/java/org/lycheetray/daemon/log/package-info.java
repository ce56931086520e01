/** Structured logging on tinylog. */
package org.lycheetray.daemon.log;
