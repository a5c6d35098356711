/** Transport of messages between the instances: MessagePack frames over TCP connections. */
package io.sapphirestack.runtime.transport;
