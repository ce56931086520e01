/** Admission control: API keys of client accounts, and rate limits over the whole fleet by base shares and loans. */
package org.lycheetray.core.admission;
