/** The demo: requests of every kind against a running fleet, with checks of what came back and of where it ran. */
package org.lycheetray.standin.demo;
