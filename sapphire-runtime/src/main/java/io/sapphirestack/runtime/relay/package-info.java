/** Passes requests of callers unchanged to endpoints, and continues their streams elsewhere. */
package io.sapphirestack.runtime.relay;
