/** Executors and thread factories that several packages use. */
package io.sapphirestack.runtime.concurrent;
