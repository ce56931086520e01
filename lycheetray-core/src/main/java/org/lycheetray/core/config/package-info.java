/**
 * Which configuration is in force: submission, acknowledgement by data centres, acceptance, and how fresh a VM's
 * knowledge is.
 *
 * <p>docs/design/0002-configuration.md states the rules and why they hold. Everything here is driven as (state, event,
 * now) to effects.
 */
package org.lycheetray.core.config;
