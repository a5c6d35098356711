/** Demonstration: a fleet of processes on loopback, faults, and a table of what held. */
package io.sapphirestack.standins.demo;
