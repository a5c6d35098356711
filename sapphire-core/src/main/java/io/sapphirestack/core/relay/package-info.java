/** Decisions about requests that are passed unchanged to the endpoints of a service. */
package io.sapphirestack.core.relay;
