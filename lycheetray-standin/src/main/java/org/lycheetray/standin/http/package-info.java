/** HTTP helpers that the stand-ins share. */
package org.lycheetray.standin.http;
