/**
 * Client library for the HTTP interfaces: caches the addresses of instances, fails over among them,
 * and continues streams at another instance.
 */
package io.sapphirestack.client;
