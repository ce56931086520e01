/** At-most-once execution of requests by claims on idempotency keys, and the outcome that each request is given. */
package org.lycheetray.core.once;
