/** Routing of generations, orders and reads to endpoints, from load and prefix cache estimates. */
package io.sapphirestack.core.routing;
