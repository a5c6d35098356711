/** Ledger of idempotency keys, by which an order is executed at most once. */
package io.sapphirestack.core.order;
