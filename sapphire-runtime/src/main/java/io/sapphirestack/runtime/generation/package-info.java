/**
 * Generations: acceptance, replication to other instances, attempts on engines, and continuation
 * after failures.
 */
package io.sapphirestack.runtime.generation;
