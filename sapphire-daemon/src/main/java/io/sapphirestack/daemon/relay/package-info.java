/** Assembly and lifecycle of an instance that relays requests according to a traffic plan. */
package io.sapphirestack.daemon.relay;
