/** Stand-in for an engine that computes long generations with continuous batching. */
package io.sapphirestack.standins.engine;
