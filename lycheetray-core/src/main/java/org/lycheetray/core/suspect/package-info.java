/** Detection of requests that crash the backend servers that run them, across the fleet. */
package org.lycheetray.core.suspect;
