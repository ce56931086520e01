/**
 * Distribution of the configuration: submission, acknowledgement by data centres, acceptance, and the freshness of a
 * VM's configuration.
 *
 * <p>docs/design/0002-configuration.md states the rules and the reasons for them. The state machines take an event and
 * the current time, and return effects for the caller to carry out.
 */
package org.lycheetray.core.config;
