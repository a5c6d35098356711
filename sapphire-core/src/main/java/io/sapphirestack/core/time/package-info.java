/** Millisecond clocks. */
package io.sapphirestack.core.time;
