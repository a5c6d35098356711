/**
 * Stand-ins for engines, plain services and the weight store, and the load and demonstration
 * commands.
 */
package io.sapphirestack.standins;
