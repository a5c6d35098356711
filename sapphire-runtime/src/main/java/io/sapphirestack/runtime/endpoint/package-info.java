/** Announcements of endpoints, connections to them, and orders to engines. */
package io.sapphirestack.runtime.endpoint;
