/** Composes an instance that relays requests by a traffic plan of the operator. */
package io.sapphirestack.daemon.relay;
