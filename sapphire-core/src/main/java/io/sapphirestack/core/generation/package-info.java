/** State machines for ownership, token log, attempts and resume policy of generations; no I/O. */
package io.sapphirestack.core.generation;
