/** HTTP interface towards callers, endpoints and operators. */
package io.sapphirestack.runtime.http;
