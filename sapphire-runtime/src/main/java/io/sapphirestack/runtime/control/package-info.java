/**
 * Voter service of the replicated control log, and the client with which every instance submits
 * commands and receives changes.
 */
package io.sapphirestack.runtime.control;
