/** Monotonic and wall clocks in milliseconds. */
package io.sapphirestack.core.time;
