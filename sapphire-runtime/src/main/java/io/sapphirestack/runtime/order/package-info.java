/**
 * Execution of orders (at most once) and idempotent reads at plain services, which are the services
 * of type {@code PLAIN}.
 */
package io.sapphirestack.runtime.order;
