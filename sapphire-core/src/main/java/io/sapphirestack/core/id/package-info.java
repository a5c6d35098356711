/** Typed identifiers. */
package io.sapphirestack.core.id;
