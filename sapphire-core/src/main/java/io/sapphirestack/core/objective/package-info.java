/** Service-level objectives: counting of good and bad events, and burn of the error budget. */
package io.sapphirestack.core.objective;
