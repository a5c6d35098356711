/** Demonstration of a complete system, run as separate processes on loopback, under faults. */
package io.sapphirestack.standins.demo;
