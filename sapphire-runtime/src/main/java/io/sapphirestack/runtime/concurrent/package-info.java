/** Executors that several parts use. */
package io.sapphirestack.runtime.concurrent;
