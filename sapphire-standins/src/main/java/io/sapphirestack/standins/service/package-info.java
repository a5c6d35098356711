/** Stand-in for a plain service with idempotent reads and non-idempotent orders. */
package io.sapphirestack.standins.service;
