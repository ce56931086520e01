/** Entry point and exit codes of {@code lycheetray}, the command-line tool for operators. */
package org.lycheetray.cli;
