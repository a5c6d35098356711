/** Sockets and streams whose reads and writes are bounded in size and time. */
package io.sapphirestack.runtime.connection;
