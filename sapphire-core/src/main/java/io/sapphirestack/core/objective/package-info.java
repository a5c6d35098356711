/** Service-level objectives: counts of good and bad events, and the burn of the error budget. */
package io.sapphirestack.core.objective;
