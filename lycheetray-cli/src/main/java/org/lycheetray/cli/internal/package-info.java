/** One class per command, and what they share. */
package org.lycheetray.cli.internal;
