/** Stand-in for an engine that serves long generations with continuous batching. */
package io.sapphirestack.standins.engine;
