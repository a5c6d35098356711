/** Demonstration: a whole system as separate processes on loopback, under faults. */
package io.sapphirestack.standins.demo;
