/** {@code lycheetray}, the operators' command-line tool. */
package org.lycheetray.cli;
