/**
 * Client library for the HTTP interfaces: addresses, failover, and streams that continue at another
 * instance.
 */
package io.sapphirestack.client;
