/** The commands of the command-line tool, one class each, and the classes that they share. */
package org.lycheetray.cli.internal;
