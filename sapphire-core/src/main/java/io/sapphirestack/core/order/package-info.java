/** Rules that let an order run at most once. */
package io.sapphirestack.core.order;
