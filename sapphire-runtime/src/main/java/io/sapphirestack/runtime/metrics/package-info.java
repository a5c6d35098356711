/** Metrics in Prometheus text format and numbered log events. */
package io.sapphirestack.runtime.metrics;
