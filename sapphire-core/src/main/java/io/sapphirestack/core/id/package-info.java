/** Typed identifiers of instances, endpoints, client accounts, generations and orders. */
package io.sapphirestack.core.id;
