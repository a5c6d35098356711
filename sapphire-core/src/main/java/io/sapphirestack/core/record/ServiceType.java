package io.sapphirestack.core.record;

/** Type of the endpoints of a service. */
public enum ServiceType {
    /** Model engines that stream generations. */
    ENGINE,
    /** HTTP servers with idempotent reads and non-idempotent orders. */
    PLAIN
}
