/** Time until a configuration is in force, measured on real daemons in one process. */
package org.lycheetray.measure.config;
