package io.sapphirestack.core.record;

/** Kind of endpoints behind a service. */
public enum ServiceType {
    /** Model engines that stream generations. */
    ENGINE,
    /** Plain services with idempotent reads and non-idempotent orders. */
    PLAIN
}
