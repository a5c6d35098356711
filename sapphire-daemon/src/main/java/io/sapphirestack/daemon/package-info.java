/** Settings, wiring and main program of the daemon. */
package io.sapphirestack.daemon;
