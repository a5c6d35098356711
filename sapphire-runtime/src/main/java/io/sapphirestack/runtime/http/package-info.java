/** HTTP interface for callers, endpoints and operators. */
package io.sapphirestack.runtime.http;
