/** Traffic plan and placement, retry and timeout rules of requests relayed to endpoints. */
package io.sapphirestack.core.relay;
