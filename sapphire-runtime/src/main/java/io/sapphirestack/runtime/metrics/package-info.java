/** Metrics in the Prometheus text format, and log events with identifiers. */
package io.sapphirestack.runtime.metrics;
