/** Structured logging, based on tinylog. */
package org.lycheetray.daemon.log;
