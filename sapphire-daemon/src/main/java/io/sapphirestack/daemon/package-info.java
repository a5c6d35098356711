/** Settings, assembly of the components, and main class of the daemon. */
package io.sapphirestack.daemon;
