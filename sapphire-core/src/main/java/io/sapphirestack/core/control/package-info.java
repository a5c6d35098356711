/**
 * Replicated state machine for configuration records, instance membership, order reservations and
 * orders to endpoints.
 */
package io.sapphirestack.core.control;
