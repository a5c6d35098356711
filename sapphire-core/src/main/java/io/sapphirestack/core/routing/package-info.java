/** Choice of the endpoint for each piece of work. */
package io.sapphirestack.core.routing;
