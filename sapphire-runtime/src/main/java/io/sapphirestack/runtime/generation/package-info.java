/** Generations: acceptance, replication to peers, attempts on engines, continuation. */
package io.sapphirestack.runtime.generation;
