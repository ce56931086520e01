/** Dropwizard metrics with HdrHistogram-backed latencies, exported in the Prometheus text format. */
package org.lycheetray.daemon.metrics;
