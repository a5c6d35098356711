/**
 * Stand-ins for engines, plain services and the weight store, with load and demonstration commands.
 */
package io.sapphirestack.standins;
