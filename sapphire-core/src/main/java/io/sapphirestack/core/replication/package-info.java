/**
 * Replicated log based on the Raft algorithm. The implementation is deterministic and performs no
 * I/O: time, randomness, messages and storage are provided by the caller.
 */
package io.sapphirestack.core.replication;
