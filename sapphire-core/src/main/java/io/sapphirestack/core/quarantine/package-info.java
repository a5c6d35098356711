/** Detection and quarantine of requests and prompt parts that crash the endpoints that run them. */
package io.sapphirestack.core.quarantine;
