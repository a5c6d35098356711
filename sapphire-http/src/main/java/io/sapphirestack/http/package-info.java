/**
 * Grammar of HTTP/1.1 messages, and client connections that accept only responses that follow it.
 */
package io.sapphirestack.http;
