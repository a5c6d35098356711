/** Replicated log: deterministic, with time, randomness, messages and storage passed in and out. */
package io.sapphirestack.core.replication;
