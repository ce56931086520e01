/** Dropwizard metrics with HdrHistogram-backed latencies, and their Prometheus text. */
package org.lycheetray.daemon.metrics;
