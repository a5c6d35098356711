/**
 * Replicated state machine: records, instance membership, order reservations and endpoint orders.
 */
package io.sapphirestack.core.control;
