/** Messages between the processes of the system: TCP frames with MessagePack. */
package io.sapphirestack.runtime.transport;
